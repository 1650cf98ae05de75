#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/requests/messages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::requests {

/** What the record of a claim says. */
enum class claim_state {
    /** Someone may send the request, or has sent it. */
    Claimed,
    /** The request ran; the record holds its result. */
    Done,
    /** The request was refused for what it says. */
    Rejected,
};

/** The record of one request id. */
struct claim_record
{
    claim_state state = claim_state::Claimed;
    /** Distinguishes every attempt to claim, on any host and in any life of it. */
    std::string owner;
    std::uint64_t contentHash = 0;
    std::chrono::seconds claimedAt{};
    std::string result;
};

/** The records of all request ids that fall into one partition, in the form the store keeps. */
struct claim_table
{
    std::map<request_id, claim_record> records;

    /** Reads the stored form; an empty text is an empty table. */
    static std::optional<claim_table> parse(const std::string &text);

    /** Returns the stored form. */
    [[nodiscard]] std::string toText() const;
};

/** How an attempt to claim a request id ended. */
enum class claim_outcome {
    /** The caller of submit() alone may send the request. */
    Granted,
    /** The id was claimed before; the record says what is known. */
    AlreadyClaimed,
    /** The partition holds too many records. */
    Full,
    /** The store could not be asked in time. Nothing may be sent. */
    Unavailable,
};

/** The end of one attempt. */
struct claim_decision
{
    std::string owner;
    claim_outcome outcome = claim_outcome::Unavailable;
    claim_record record;
};

/** A compare-and-swap that the partition asks for. */
struct claim_write
{
    revision expected;
    std::string value;
};

/** Bounds of a partition. */
struct claim_limits
{
    /** Age at which a record is dropped. A request must be refused before it is that old. */
    std::chrono::seconds retention{600};
    std::size_t maximumRecords = 1000;
    /** Bytes of a result that are kept for a repeated request. */
    std::size_t maximumResultBytes = 512;
};

/**
    Decides which attempt to run a non-idempotent request may send it.

    All records of a partition stand in one value of the store, and each change is one
    compare-and-swap. While one is under way, further claims and results gather and go with the
    next (group commit). An attempt is granted only once a swap that holds its record is known to
    have taken effect. No lease is involved: a paused owner keeps its claim, and a repeated request
    learns that the result is unknown.

    It does no I/O. The driver calls nextWrite(), carries the write out, and reports how it ended.
*/
class claim_partition
{
public:
    explicit claim_partition(claim_limits limits);

    /** Asks for a claim. The owner must be new. */
    void submit(const request_id &request, const std::string &owner, std::uint64_t contentHash);

    /** Gives up an attempt that has not been decided; if it is granted after all, it is released.
     */
    void withdraw(const std::string &owner);

    /** Records the end of a request that ran or was rejected. */
    void finish(const request_id &request, const std::string &owner, claim_state state,
                const std::string &result);

    /** Removes the claim of a request that certainly was not sent, so that it may be repeated. */
    void release(const request_id &request, const std::string &owner);

    /** Returns the next swap, if there is something to write and none is under way. */
    std::optional<claim_write> nextWrite(std::chrono::seconds now);

    /** Returns whether the value has to be read before a swap can be prepared. */
    [[nodiscard]] bool needsRead() const noexcept;

    /** Returns whether a write or read is wanted. */
    [[nodiscard]] bool hasWork() const noexcept;

    /** The swap took effect. */
    void onWritten(revision written);

    /** The swap did not take effect and cannot any more, as another value stands there. */
    void onWriteConflict(revision current, const std::string &value);

    /** The swap may or may not have taken effect. */
    void onWriteOutcomeUnknown();

    /** The swap was not sent. */
    void onWriteNotSent();

    /** The value was read. */
    void onValueRead(revision current, const std::string &value);

    /** Returns the attempts decided since the last call. */
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

    void adopt(revision current, const std::string &value);
    void decideAgainst(const claim_table &table);
    void applyChanges(claim_table &table) const;
    void dropOld(claim_table &table, std::chrono::seconds now) const;
    void dropSettledChanges();
    void decide(const std::string &owner, claim_outcome outcome, const claim_record &record);

    claim_limits m_limits;
    bool m_isKnown = false;
    revision m_revision;
    claim_table m_table;
    std::map<std::string, attempt> m_attempts;
    std::vector<change> m_changes;
    std::optional<pending_write> m_inFlight;
    std::vector<claim_decision> m_decisions;
};

} // namespace mustardcourse::requests
