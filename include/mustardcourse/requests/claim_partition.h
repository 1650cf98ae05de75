#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/requests/messages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::requests {

/** State of a claimed request. The values are those of the stored form. */
enum class claim_state {
    /** The owner may send the request, or has sent it. */
    Claimed,
    /** The request ran; the record holds its result. */
    Done,
    /** The request was rejected because of its content. */
    Rejected,
};

/** The claim on one request id. */
struct claim_record
{
    claim_state state = claim_state::Claimed;
    /** Identifier of the claim attempt, unique across all hosts and their incarnations. */
    std::string owner;
    std::uint64_t contentHash = 0;
    std::chrono::seconds claimedAt{};
    std::string result;
};

/** The claims of all request ids in one partition, which the store holds as one value. */
struct claim_table
{
    std::map<request_id, claim_record> records;

    /** Parses the stored form; an empty text is an empty table. */
    static std::optional<claim_table> parse(const std::string &text);

    /** Returns the stored form. */
    [[nodiscard]] std::string toText() const;
};

/** How an attempt to claim a request id ended. */
enum class claim_outcome {
    /** Only the owner of this attempt may send the request. */
    Granted,
    /** Another attempt has claimed the id; its record holds the state of the request. */
    AlreadyClaimed,
    /** The partition has reached its maximum number of records. */
    Full,
    /** The store did not respond in time. The request must not be sent. */
    Unavailable,
};

/** The outcome of one attempt to claim a request id. */
struct claim_decision
{
    std::string owner;
    claim_outcome outcome = claim_outcome::Unavailable;
    claim_record record;
};

/** A compare-and-swap that the driver has to carry out. */
struct claim_write
{
    revision expectedRevision;
    std::string value;
};

/** Limits of a partition. */
struct claim_limits
{
    /** Age after which a record is dropped; the request must be refused before it is that old. */
    std::chrono::seconds retention{600};
    std::size_t maximumRecords = 1000;
    /** A longer result is truncated in its record. */
    std::size_t maximumResultBytes = 512;
};

/**
    Decides which of the attempts to claim a non-idempotent request may send it.

    All records of a partition are one value in the store, and each change to it is one
    compare-and-swap. While a write is in flight, further claims and results are queued for the next
    one (group commit). A claim is granted only after a write that contains its record has been
    confirmed. Claims have no lease: a paused owner keeps its claim, and a repeated request is
    answered with an unknown result.

    The class does no I/O. The driver calls nextWrite(), carries out the write and reports its
    outcome.
*/
class claim_partition
{
public:
    explicit claim_partition(claim_limits limits);

    /** Starts an attempt to claim a request id. The owner must not have been used before. */
    void submit(const request_id &request, const std::string &owner, std::uint64_t contentHash);

    /** Cancels an undecided attempt. If its record is stored nevertheless, it is removed again. */
    void withdraw(const std::string &owner);

    /** Records the result of a request that ran or was rejected. */
    void finish(const request_id &request, const std::string &owner, claim_state state,
                const std::string &result);

    /** Removes the claim of a request that was definitely not sent, so that it can be repeated. */
    void release(const request_id &request, const std::string &owner);

    /** Returns the next write, if there is a change to store and no write is in flight. */
    std::optional<claim_write> nextWrite(std::chrono::seconds now);

    /** Returns whether the value has to be read before the next write. */
    [[nodiscard]] bool needsRead() const noexcept;

    /** Returns whether attempts or changes are pending and no write is in flight. */
    [[nodiscard]] bool hasWork() const noexcept;

    /** Called when the write took effect. */
    void onWritten(revision newRevision);

    /** Called when the write did not take effect and never will: the store has another revision. */
    void onWriteConflict(revision storedRevision, const std::string &value);

    /** Called when the write may or may not have taken effect. */
    void onWriteOutcomeUnknown();

    /** Called when the write was not sent. */
    void onWriteNotSent();

    /** Called when the value was read. */
    void onValueRead(revision storedRevision, const std::string &value);

    /** Returns the decisions made since the last call. */
    std::vector<claim_decision> takeDecisions();

private:
    struct attempt
    {
        request_id request;
        std::uint64_t contentHash = 0;
    };
    struct change
    {
        request_id request;
        std::string owner;
        bool isRelease = false;
        claim_state state = claim_state::Done;
        std::string result;
    };
    struct pending_write
    {
        claim_table table;
    };

    void replaceTable(revision storedRevision, const std::string &value);
    void decideRecordedAttempts(const claim_table &table);
    void applyChanges(claim_table &table) const;
    void removeExpired(claim_table &table, std::chrono::seconds now) const;
    void removeSettledChanges();
    void decide(const std::string &owner, claim_outcome outcome, const claim_record &record);

    claim_limits m_limits;
    bool m_isTableCurrent = false;
    revision m_revision;
    claim_table m_table;
    std::map<std::string, attempt> m_attempts;
    std::vector<change> m_pendingChanges;
    std::optional<pending_write> m_writeInFlight;
    std::vector<claim_decision> m_decisions;
};

} // namespace mustardcourse::requests
