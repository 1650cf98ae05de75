#include <mustardcourse/serving/configuration.h>

#include <algorithm>
#include <numeric>

namespace mustardcourse::serving {

namespace {

std::string toLowerCase(std::string_view text)
{
    std::string lowered(text);
    for (char &character : lowered) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character + ('a' - 'A'));
    }
    return lowered;
}

} // namespace

configuration::configuration(configuration_version version, std::vector<route> routes,
                             std::map<service_id, service_parameters> services,
                             caller_request_limits callerLimits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_callerLimits(callerLimits)
{
    for (const route &entry : m_routes)
        m_routesByHostName[toLowerCase(entry.hostName)].push_back(&entry);
    for (auto &[hostName, hostRoutes] : m_routesByHostName) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
                         [](const route *left, const route *right) {
                             return left->pathPrefix.size() > right->pathPrefix.size();
                         });
    }
}

const service_parameters *configuration::findService(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

const route *configuration::match(std::string_view hostName, std::string_view path) const
{
    const auto found = m_routesByHostName.find(toLowerCase(hostName.substr(0, hostName.find(':'))));
    if (found == m_routesByHostName.end())
        return nullptr;
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    for (const route *candidate : found->second) {
        if (pathWithoutQuery.starts_with(candidate->pathPrefix))
            return candidate;
    }
    return nullptr;
}

const service_id &weighted_round_robin::next(const std::vector<weighted_service> &services)
{
    if (m_services != services) {
        m_services = services;
        m_credits.assign(services.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        m_credits[i] += services[i].weight;
        total += services[i].weight;
    }
    const auto best = std::max_element(m_credits.begin(), m_credits.end());
    *best -= total;
    return services[static_cast<std::size_t>(best - m_credits.begin())].service;
}

} // namespace mustardcourse::serving
