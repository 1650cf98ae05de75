#include <mustardcourse/store/relay_choice.h>

#include <mustardcourse/core/errors.h>
#include <mustardcourse/core/hash.h>

namespace mustardcourse::store {

namespace {

/** Minimum number of members with a relay address for which a data centre uses a relay. A relay
    queries the store about four times as often as a host that watches it only for itself. */
constexpr std::size_t minimumCandidates = 6;

} // namespace

std::string encodeMember(const member_entry &entry)
{
    const std::string &dataCentre = entry.dataCentre.value();
    return entry.relay ? dataCentre + " " + entry.relay->toString() : dataCentre;
}

member_entry decodeMember(const std::string &text)
{
    const auto space = text.find(' ');
    member_entry entry;
    entry.dataCentre = data_centre_id(text.substr(0, space));
    if (space == std::string::npos)
        return entry;
    try {
        entry.relay = endpoint::parse(std::string_view(text).substr(space + 1));
    } catch (const malformed_endpoint_error &) {
        // Another release may write another format; the host still counts as a member.
        entry.relay.reset();
    }
    return entry;
}

std::optional<std::string> chooseRelay(const member_entries &members,
                                       const data_centre_id &dataCentre)
{
    std::size_t candidateCount = 0;
    std::optional<std::string> best;
    std::uint64_t bestRank = 0;
    for (const auto &[host, entry] : members) {
        if (entry.dataCentre != dataCentre || !entry.relay)
            continue;
        ++candidateCount;
        const std::uint64_t rank = stableHash(host);
        if (best && rank < bestRank)
            continue;
        best = host;
        bestRank = rank;
    }
    return candidateCount < minimumCandidates ? std::nullopt : best;
}

} // namespace mustardcourse::store
