#include <mustardcourse/serving/part_messages.h>

#include <part_messages.capnp.h>

#include "../core/flat_message.h"

#include <fmt/format.h>
#include <kj/exception.h>

namespace mustardcourse::serving {

namespace {

using std::chrono::microseconds;

/** Maximum number of shards of a lookup. */
constexpr std::uint32_t maximumShards = 10'000;
/** Maximum of all times in a message. */
constexpr std::chrono::hours maximumTime{24};

std::int64_t microsecondsOf(duration time)
{
    return std::chrono::floor<microseconds>(time).count();
}

duration readTime(std::int64_t count)
{
    const microseconds limit = maximumTime;
    if (count < -limit.count() || count > limit.count())
        throw malformed_part_error(fmt::format("a time of {} us is out of range", count));
    return microseconds(count);
}

/** Reads a number from 1 to a maximum. */
std::size_t readCount(std::uint32_t count, std::size_t maximum, std::string_view name)
{
    if (count == 0 || count > maximum)
        throw malformed_part_error(fmt::format("{} is {}, not 1 to {}", name, count, maximum));
    return count;
}

kj::ArrayPtr<const kj::byte> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string textOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

rpc::PartAnswer::Result encodedOutcome(part_outcome outcome)
{
    switch (outcome) {
    case part_outcome::Answered:
        return rpc::PartAnswer::Result::ANSWERED;
    case part_outcome::NotRun:
        return rpc::PartAnswer::Result::NOT_RUN;
    case part_outcome::Failed:
        return rpc::PartAnswer::Result::FAILED;
    case part_outcome::Declined:
        break;
    }
    return rpc::PartAnswer::Result::DECLINED;
}

part_outcome decodedOutcome(rpc::PartAnswer::Result result)
{
    switch (result) {
    case rpc::PartAnswer::Result::ANSWERED:
        return part_outcome::Answered;
    case rpc::PartAnswer::Result::NOT_RUN:
        return part_outcome::NotRun;
    case rpc::PartAnswer::Result::FAILED:
        return part_outcome::Failed;
    case rpc::PartAnswer::Result::DECLINED:
        return part_outcome::Declined;
    }
    throw malformed_part_error("the result of a part is unknown");
}

std::shared_ptr<const caller_request> readCallerRequest(rpc::PartRequest::Reader message)
{
    auto request = std::make_shared<caller_request>();
    request->id = request_id(textOf(message.getRequestId()));
    request->fingerprint = request_fingerprint(message.getFingerprint());
    request->forwardedHead = textOf(message.getHead());
    request->body = textOf(message.getBody());
    request->isResponseBodyExpected = message.getIsResponseBodyExpected();
    return request;
}

part_request readPartRequest(rpc::PartRequest::Reader message, time_point arrival)
{
    part_request request;
    request.sender = host_id(textOf(message.getSender()));
    request.version = configuration_version(message.getConfigurationVersion());
    request.routeName = route_id(textOf(message.getRoute()));
    request.callerRequest = readCallerRequest(message);
    for (const auto shard : message.getShards())
        request.shards.emplace_back(textOf(shard));
    request.shardCount = readCount(message.getShardCount(), maximumShards, "the number of shards");
    readCount(static_cast<std::uint32_t>(request.shards.size()), request.shardCount,
              "the number of shards of the part");
    request.minimumAnswers = readCount(message.getMinimumAnswers(), request.shards.size(),
                                       "the minimum number of answers");
    request.maximumTargets =
        readCount(message.getMaximumTargets(), maximumShards, "the maximum number of targets");
    request.resultCount = message.getResultCount();
    request.priority = route_priority(message.getPriority());
    request.latencyObjective =
        std::chrono::floor<std::chrono::milliseconds>(readTime(message.getLatencyObjective()));
    request.isLateRetry = message.getIsLateRetry();
    request.isRepeated = message.getIsRepeated();
    request.times = {arrival + readTime(message.getUntilStart()),
                     arrival + readTime(message.getUntilHedges()),
                     arrival + readTime(message.getUntilRefusal()),
                     arrival + readTime(message.getUntilCutoff()),
                     arrival + readTime(message.getUntilEnd()),
                     arrival + readTime(message.getUntilDeadline())};
    return request;
}

part_answer readPartAnswer(rpc::PartAnswer::Reader message, std::size_t shardCount)
{
    part_answer answer;
    answer.outcome = decodedOutcome(message.getResult());
    answer.retryAfter = readTime(message.getRetryAfter());
    answer.declineReason = static_cast<decline_reason>(message.getDeclineReason());
    std::size_t next = 0;
    for (const auto shard : message.getMissing()) {
        const auto reason = static_cast<missing_shard_reason>(shard.getReason());
        const bool isInOrder = shard.getShard() >= next && shard.getShard() < shardCount;
        if (!isInOrder || reason == missing_shard_reason::None)
            throw malformed_part_error("the missing shards of an answer are not valid");
        answer.missing.push_back({shard.getShard(), reason});
        next = shard.getShard() + std::size_t{1};
    }
    answer.answers.shardCount = message.getAnsweredCount();
    const bool isWhole = answer.answers.shardCount + answer.missing.size() == shardCount;
    if (answer.outcome == part_outcome::Answered && !isWhole)
        throw malformed_part_error("an answer does not account for all shards of its part");
    answer.answers.signatures = textOf(message.getSignatures());
    answer.answers.records = textOf(message.getRecords());
    return answer;
}

/** Reads the root of a message. @throws malformed_part_error */
template <typename Message, typename Read>
auto readRoot(std::string_view bytes, Read read)
{
    const auto words = alignedWordsOf(bytes);
    try {
        capnp::FlatArrayMessageReader message(words);
        return read(message.getRoot<Message>());
    } catch (const kj::Exception &failure) {
        throw malformed_part_error(failure.getDescription().cStr());
    }
}

} // namespace

std::string_view nameOf(part_outcome outcome)
{
    switch (outcome) {
    case part_outcome::Answered:
        return "answered";
    case part_outcome::NotRun:
        return "refused";
    case part_outcome::Failed:
        return "failed";
    case part_outcome::Declined:
        return "declined";
    }
    return "unknown";
}

std::string_view nameOf(decline_reason reason)
{
    switch (reason) {
    case decline_reason::None:
        return "none";
    case decline_reason::NotServing:
        return "not-serving";
    case decline_reason::UnknownSender:
        return "unknown-sender";
    case decline_reason::OtherConfiguration:
        return "other-configuration";
    case decline_reason::Late:
        return "late";
    case decline_reason::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

std::string encodePartRequest(const part_request &request, time_point now)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<rpc::PartRequest>();
    const caller_request &callerRequest = *request.callerRequest;
    root.setSender(request.sender.value());
    root.setConfigurationVersion(request.version.value());
    root.setRoute(request.routeName.value());
    root.setRequestId(callerRequest.id.value());
    root.setFingerprint(callerRequest.fingerprint.value());
    root.setHead(bytesOf(callerRequest.forwardedHead));
    root.setBody(bytesOf(callerRequest.body));
    root.setIsResponseBodyExpected(callerRequest.isResponseBodyExpected);
    auto shards = root.initShards(static_cast<unsigned>(request.shards.size()));
    for (unsigned i = 0; i < shards.size(); ++i)
        shards.set(i, request.shards[i].value());
    root.setShardCount(static_cast<std::uint32_t>(request.shardCount));
    root.setMinimumAnswers(static_cast<std::uint32_t>(request.minimumAnswers));
    root.setMaximumTargets(static_cast<std::uint32_t>(request.maximumTargets));
    root.setResultCount(static_cast<std::uint32_t>(request.resultCount));
    root.setPriority(request.priority.value());
    root.setIsLateRetry(request.isLateRetry);
    root.setIsRepeated(request.isRepeated);
    root.setLatencyObjective(microsecondsOf(request.latencyObjective));
    root.setUntilStart(microsecondsOf(request.times.start - now));
    root.setUntilHedges(microsecondsOf(request.times.hedges - now));
    root.setUntilRefusal(microsecondsOf(request.times.refusal - now));
    root.setUntilCutoff(microsecondsOf(request.times.cutoff - now));
    root.setUntilEnd(microsecondsOf(request.times.end - now));
    root.setUntilDeadline(microsecondsOf(request.times.deadline - now));
    return flatBytesOf(message);
}

part_request decodePartRequest(std::string_view bytes, time_point arrival)
{
    return readRoot<rpc::PartRequest>(bytes, [arrival](rpc::PartRequest::Reader message) {
        return readPartRequest(message, arrival);
    });
}

std::string encodePartAnswer(const part_answer &answer)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<rpc::PartAnswer>();
    root.setResult(encodedOutcome(answer.outcome));
    root.setRetryAfter(microsecondsOf(answer.retryAfter));
    root.setDeclineReason(static_cast<std::uint16_t>(answer.declineReason));
    auto missing = root.initMissing(static_cast<unsigned>(answer.missing.size()));
    for (unsigned i = 0; i < missing.size(); ++i) {
        missing[i].setShard(static_cast<std::uint32_t>(answer.missing[i].shard));
        missing[i].setReason(static_cast<std::uint16_t>(answer.missing[i].reason));
    }
    root.setAnsweredCount(static_cast<std::uint32_t>(answer.answers.shardCount));
    root.setSignatures(answer.answers.signatures);
    root.setRecords(bytesOf(answer.answers.records));
    return flatBytesOf(message);
}

part_answer decodePartAnswer(std::string_view bytes, std::size_t shardCount)
{
    return readRoot<rpc::PartAnswer>(bytes, [shardCount](rpc::PartAnswer::Reader message) {
        return readPartAnswer(message, shardCount);
    });
}

} // namespace mustardcourse::serving
