#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gooseberrywall {

namespace {

/// Fractional part of the golden ratio: multiples of it are spread evenly.
constexpr double goldenStep = 0.6180339887498949;

auto lowered(std::string_view text) -> std::string
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

} // namespace

RouteTable::RouteTable(RouteConfiguration configuration)
    : document(std::move(configuration))
{
    for (std::size_t index = 0; index < this->document.routes.size(); ++index) {
        this->byHost[lowered(this->document.routes[index].host)].push_back(index);
    }
    for (auto &[host, indexes] : this->byHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return this->document.routes[left].prefix.size()
                   > this->document.routes[right].prefix.size();
        });
    }
    for (std::size_t index = 0; index < this->document.services.size(); ++index) {
        this->byService[this->document.services[index].name] = index;
    }
}

auto RouteTable::match(std::string_view host, std::string_view target) const -> const Route *
{
    const auto found = this->byHost.find(lowered(host.substr(0, host.rfind(':'))));
    if (found == this->byHost.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto index : found->second) {
        const auto &route = this->document.routes[index];
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

auto RouteTable::serviceAt(const Route &route, double point) -> const ServiceName &
{
    double total = 0;
    for (const auto &part : route.services) {
        total += part.weight;
    }
    auto rest = point * total;
    for (const auto &part : route.services) {
        if (rest < part.weight) {
            return part.service;
        }
        rest -= part.weight;
    }
    return route.services.back().service;
}

auto RouteTable::service(const ServiceName &name) const -> const ServiceSpec *
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr : &this->document.services[found->second];
}

auto EvenSpread::next() -> double
{
    this->point += goldenStep;
    if (this->point >= 1) {
        this->point -= 1;
    }
    return this->point;
}

} // namespace gooseberrywall
