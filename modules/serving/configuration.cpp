#include <mustardcourse/serving/configuration.h>

#include <algorithm>
#include <numeric>

namespace mustardcourse::serving {

namespace {

std::string lowerCase(std::string_view text)
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
                             caller_request_limits callers)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_callers(callers)
{
    for (const route &each : m_routes)
        m_byHost[lowerCase(each.hostName)].push_back(&each);
    for (auto &[hostName, ofHost] : m_byHost) {
        std::stable_sort(ofHost.begin(), ofHost.end(), [](const route *left, const route *right) {
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
    const auto found = m_byHost.find(lowerCase(hostName.substr(0, hostName.find(':'))));
    if (found == m_byHost.end())
        return nullptr;
    const std::string_view plainPath = path.substr(0, path.find('?'));
    for (const route *each : found->second) {
        if (plainPath.starts_with(each->pathPrefix))
            return each;
    }
    return nullptr;
}

const service_id &weighted_round_robin::next(const std::vector<weighted_service> &services)
{
    if (m_credits.size() != services.size())
        m_credits.assign(services.size(), 0);
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
