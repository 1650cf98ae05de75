#include <mustardcourse/store/relay_choice.h>

#include <mustardcourse/core/errors.h>
#include <mustardcourse/core/hash.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>

namespace mustardcourse::store {

namespace {

/** Minimum number of members with a relay address for which a data centre uses a relay. A relay
    queries the store about four times as often as a host that watches it only for itself. */
constexpr std::size_t minimumCandidates = 6;

/** Number of cores, relative to the strongest host of the data centre, from which hosts are left to
    gather lookups: what a relay sends at once delays all else on its link. */
constexpr double minimumGathererCores = 0.5;

/** Removes the text up to a space, and the space. */
std::string_view takeWord(std::string_view &text)
{
    const auto end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

core_share readCores(std::string_view text)
{
    double cores = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), cores);
    const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return core_share(isNumber && std::isfinite(cores) && cores > 0 ? cores : 0);
}

} // namespace

std::string encodeMember(const member_entry &entry)
{
    std::string text = entry.dataCentre.value();
    if (!entry.relay)
        return text;
    text.append(" ").append(entry.relay->toString());
    if (entry.cores.value() > 0)
        text += fmt::format(" {}", entry.cores.value());
    return text;
}

member_entry decodeMember(const std::string &text)
{
    std::string_view rest = text;
    member_entry entry;
    entry.dataCentre = data_centre_id(std::string(takeWord(rest)));
    if (rest.empty())
        return entry;
    try {
        entry.relay = endpoint::parse(takeWord(rest));
        entry.cores = readCores(takeWord(rest));
    } catch (const malformed_endpoint_error &) {
        // Another release may write another format; the host still counts as a member.
        entry.relay.reset();
    }
    return entry;
}

std::vector<std::string> rankRelays(const member_entries &members, const data_centre_id &dataCentre)
{
    const auto isCandidate = [&](const member_entry &entry) {
        return entry.dataCentre == dataCentre && entry.relay.has_value();
    };
    core_share greatestCores{0};
    for (const auto &[host, entry] : members) {
        if (isCandidate(entry))
            greatestCores = std::max(greatestCores, entry.cores);
    }
    const double gathererCores = minimumGathererCores * greatestCores.value();
    std::vector<std::pair<std::uint64_t, std::string>> ranks;
    std::vector<std::pair<std::uint64_t, std::string>> weakRanks;
    for (const auto &[host, entry] : members) {
        if (!isCandidate(entry))
            continue;
        ranks.emplace_back(stableHash(host), host);
        if (entry.cores.value() < gathererCores)
            weakRanks.push_back(ranks.back());
    }
    if (ranks.size() < minimumCandidates)
        return {};
    if (weakRanks.size() >= minimumCandidates)
        ranks = std::move(weakRanks);
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<std::string> hosts;
    hosts.reserve(ranks.size());
    for (auto &[rank, host] : ranks)
        hosts.push_back(std::move(host));
    return hosts;
}

} // namespace mustardcourse::store
