#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gooseberrywall {

namespace {

/// Fractional part of the golden ratio; the fractional parts of its multiples are evenly
/// distributed.
constexpr double goldenRatioStep = 0.6180339887498949;

auto toLowerCase(std::string_view text) -> std::string
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

} // namespace

RouteTable::RouteTable(RouteConfiguration configuration)
    : routeConfiguration(std::move(configuration))
{
    for (std::size_t index = 0; index < this->routeConfiguration.routes.size(); ++index) {
        this->byHost[toLowerCase(this->routeConfiguration.routes[index].host)].push_back(index);
    }
    for (auto &[host, indexes] : this->byHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return this->routeConfiguration.routes[left].prefix.size()
                   > this->routeConfiguration.routes[right].prefix.size();
        });
    }
    for (std::size_t index = 0; index < this->routeConfiguration.services.size(); ++index) {
        this->byService[this->routeConfiguration.services[index].name] = index;
    }
}

auto RouteTable::match(std::string_view host, std::string_view target) const -> const Route *
{
    const auto found = this->byHost.find(toLowerCase(host.substr(0, host.rfind(':'))));
    if (found == this->byHost.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto index : found->second) {
        const auto &route = this->routeConfiguration.routes[index];
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

auto RouteTable::serviceAt(const Route &route, double point) -> const ServiceName &
{
    double totalWeight = 0;
    for (const auto &weighted : route.services) {
        totalWeight += weighted.weight;
    }
    auto remainingWeight = point * totalWeight;
    for (const auto &weighted : route.services) {
        if (remainingWeight < weighted.weight) {
            return weighted.service;
        }
        remainingWeight -= weighted.weight;
    }
    return route.services.back().service;
}

auto RouteTable::service(const ServiceName &name) const -> const ServiceSpec *
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr
                                          : &this->routeConfiguration.services[found->second];
}

auto EvenSpread::next() -> double
{
    this->point += goldenRatioStep;
    if (this->point >= 1) {
        this->point -= 1;
    }
    return this->point;
}

} // namespace gooseberrywall
