#include <mustardcourse/requests/messages.h>

#include <array>

namespace mustardcourse::requests {

namespace {

constexpr std::array<std::string_view, 11> shardFailureNames{
    "none",      "unreachable", "timedOut",      "shed",          "versionGone", "layoutChanged",
    "malformed", "queueFull",   "targetLeaving", "dataCentreOut", "notServed"};

constexpr std::array<std::string_view, 4> outcomeNames{"done", "notRun", "unknown", "rejected"};

constexpr std::array<std::string_view, 18> reasonNames{"none",
                                                       "alreadyDone",
                                                       "earlierResultUnknown",
                                                       "differentContent",
                                                       "tooOld",
                                                       "claimsUnavailable",
                                                       "claimsFull",
                                                       "targetRefused",
                                                       "targetUnreachable",
                                                       "answerLost",
                                                       "queueFull",
                                                       "targetLeaving",
                                                       "dataCentreOut",
                                                       "homeUnreachable",
                                                       "deadlinePassed",
                                                       "rejectedByTarget",
                                                       "overloaded",
                                                       "unknownService"};

} // namespace

std::string_view nameOf(shard_failure failure)
{
    return shardFailureNames.at(static_cast<std::size_t>(failure));
}

std::string_view nameOf(execute_outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view nameOf(execute_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

execute_reason executeReasonFromName(std::string_view name)
{
    for (std::size_t index = 0; index < reasonNames.size(); ++index) {
        if (reasonNames[index] == name)
            return static_cast<execute_reason>(index);
    }
    return execute_reason::None;
}

} // namespace mustardcourse::requests
