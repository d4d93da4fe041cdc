#pragma once

#include <optional>

namespace gooseberrywall {

/// An exponentially smoothed mean, corrected for the bias towards its initial value of zero.
class SmoothedValue
{
public:
    SmoothedValue() = default;
    explicit SmoothedValue(double value)
        : weightedSum(value)
        , weight(1.0)
    {
    }

    /// @param sampleWeight weight of the sample, between zero and one
    auto add(double sample, double sampleWeight) -> void
    {
        this->weightedSum += sampleWeight * (sample - this->weightedSum);
        this->weight += sampleWeight * (1.0 - this->weight);
        // A sample that equals the last one is taken for a repetition, not for a new measurement.
        if (this->lastSample && sample != *this->lastSample) {
            const auto step = sample - *this->lastSample;
            this->varianceSum += sampleWeight * (step * step / 2.0 - this->varianceSum);
            this->varianceWeight += sampleWeight * (1.0 - this->varianceWeight);
        }
        this->lastSample = sample;
    }

    [[nodiscard]] auto value() const -> double
    {
        return this->weight > 0.0 ? this->weightedSum / this->weight : 0.0;
    }

    /// @returns the variance of single samples, estimated from the differences of successive ones,
    ///          so that a lasting change of the mean adds little
    [[nodiscard]] auto variance() const -> double
    {
        return this->varianceWeight > 0.0 ? this->varianceSum / this->varianceWeight : 0.0;
    }

private:
    double weightedSum = 0.0;
    double weight = 0.0;
    double varianceSum = 0.0;
    double varianceWeight = 0.0;
    std::optional<double> lastSample;
};

} // namespace gooseberrywall
