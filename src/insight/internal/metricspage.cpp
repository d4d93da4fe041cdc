#include "insight/metricspage.h"

#include <array>
#include <sstream>
#include <string_view>
#include <utility>

namespace gooseberrywall {

namespace {

auto escaped(std::string_view value) -> std::string
{
    std::string result;
    for (const auto character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto writeCounters(const CounterSnapshot &snapshot, std::ostream &page) -> void
{
    page << "# HELP gooseberrywall_requests_total Ends and retries of requests by reason.\n"
         << "# TYPE gooseberrywall_requests_total counter\n";
    for (const auto &sample : snapshot.counters) {
        page << "gooseberrywall_requests_total{service=\"" << escaped(sample.key.service.value)
             << "\",caller=\"" << escaped(sample.key.caller.value) << "\",event=\""
             << toString(sample.key.event) << "\",reason=\"" << toString(sample.key.reason)
             << "\"} " << sample.count << '\n';
    }
}

auto writeAnswers(const CounterSnapshot &snapshot, std::ostream &page) -> void
{
    page << "# HELP gooseberrywall_answers_total Answers to callers by status and origin.\n"
         << "# TYPE gooseberrywall_answers_total counter\n";
    for (const auto &sample : snapshot.answers) {
        page << "gooseberrywall_answers_total{origin=\"" << toString(sample.origin)
             << "\",status=\"" << sample.status << "\"} " << sample.count << '\n';
    }
}

auto writeStage(const StageSample &sample, std::ostream &page) -> void
{
    constexpr auto name = "gooseberrywall_stage_seconds";
    std::ostringstream labels;
    labels << "route=\"" << escaped(sample.route) << "\",stage=\"" << toString(sample.stage) << '"';
    for (const auto &bucket : sample.buckets) {
        page << name << "_bucket{" << labels.str() << ",le=\"" << seconds(bucket.upperBound)
             << "\"} " << bucket.cumulativeCount << '\n';
    }
    page << name << "_bucket{" << labels.str() << ",le=\"+Inf\"} " << sample.count << '\n'
         << name << "_sum{" << labels.str() << "} " << seconds(sample.sum) << '\n'
         << name << "_count{" << labels.str() << "} " << sample.count << '\n';
}

auto writeLatency(const LatencySample &sample, std::ostream &page) -> void
{
    const auto service = escaped(sample.service.value);
    const std::array<std::pair<const char *, Duration>, 4> quantiles{
        {{"0.5", sample.p50}, {"0.9", sample.p90}, {"0.99", sample.p99}, {"0.999", sample.p999}}};
    for (const auto &[quantile, value] : quantiles) {
        page << "gooseberrywall_latency_seconds{service=\"" << service << "\",quantile=\""
             << quantile << "\"} " << seconds(value) << '\n';
    }
    page << "gooseberrywall_latency_seconds_sum{service=\"" << service << "\"} "
         << seconds(sample.sum) << '\n';
    page << "gooseberrywall_latency_seconds_count{service=\"" << service << "\"} " << sample.count
         << '\n';
}

} // namespace

auto toString(CountedEvent event) -> std::string
{
    switch (event) {
    case CountedEvent::Answered:
        return "answered";
    case CountedEvent::Refused:
        return "refused";
    case CountedEvent::Unknown:
        return "unknown";
    case CountedEvent::Retried:
        return "retried";
    }
    return {};
}

auto toString(AnswerOrigin origin) -> std::string
{
    switch (origin) {
    case AnswerOrigin::Listener:
        return "listener";
    case AnswerOrigin::Routes:
        return "routes";
    case AnswerOrigin::Daemon:
        return "daemon";
    case AnswerOrigin::Upstream:
        return "upstream";
    case AnswerOrigin::Unsigned:
        return "unsigned";
    }
    return {};
}

auto metricsPage(const CounterSnapshot &snapshot) -> std::string
{
    std::ostringstream page;
    writeCounters(snapshot, page);
    if (!snapshot.answers.empty()) {
        writeAnswers(snapshot, page);
    }
    page << "# HELP gooseberrywall_latency_seconds From a request's arrival to its answer.\n"
         << "# TYPE gooseberrywall_latency_seconds summary\n";
    for (const auto &sample : snapshot.latencies) {
        writeLatency(sample, page);
    }
    return page.str();
}

auto metricsPage(const std::vector<StageSample> &stages) -> std::string
{
    std::ostringstream page;
    page << "# HELP gooseberrywall_stage_seconds Parts of requests' time at their entry daemon.\n"
         << "# TYPE gooseberrywall_stage_seconds histogram\n";
    for (const auto &sample : stages) {
        writeStage(sample, page);
    }
    return page.str();
}

} // namespace gooseberrywall
