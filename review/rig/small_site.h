#pragma once

// A small deployment: a store, one service of three searchers in three zones, and one host or more.

#include "rig.h"

namespace rig {

struct small_site
{
    static constexpr int searcherCount = 3;

    /** @param outputs  where the output of each host goes; one host without an entry */
    explicit small_site(const std::string &program, record &log, std::vector<int> outputs = {-1})
    {
        const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
        for (int index = 0; index < searcherCount; ++index) {
            searchers.push_back(std::make_unique<searcher>(
                searcher::description{"settle-" + std::to_string(index + 1), "settle", zones[index],
                                      4},
                log));
            searchers.back()->registerIn(keeper);
        }
        const json routes{makeRoute("read", "idempotent", "settle"),
                          makeRoute("book", "non_idempotent", "settle")};
        keeper.put("op/config", makeConfiguration(3, routes, json{makeService("settle", 100)}));
        for (std::size_t index = 0; index < outputs.size(); ++index) {
            const std::string &zone = zones[index % zones.size()];
            fronts.push_back(std::make_unique<host>(host::options{
                program, "front-" + zone + "-1", zone, keeper.port(), outputs[index]}));
        }
        for (const auto &front : fronts)
            front->awaitReady();
    }

    [[nodiscard]] host &front() const { return *fronts.front(); }

    /** Returns how often each request has run at all searchers. */
    [[nodiscard]] std::map<std::string, int> runs() const
    {
        std::map<std::string, int> sum;
        for (const auto &entry : searchers) {
            for (const auto &[id, count] : entry->runs())
                sum[id] += count;
        }
        return sum;
    }

    store keeper;
    std::vector<std::unique_ptr<searcher>> searchers;
    std::vector<std::unique_ptr<host>> fronts;
};

/** A requester that sends one request after the other and keeps its connection open. */
class steady_requester
{
public:
    explicit steady_requester(std::uint16_t port)
        : m_port(port)
    { }

    /** Sends a request and returns the answer; nothing if the connection ends without one. */
    std::optional<message> ask(const std::string &method, const std::string &target,
                               const std::string &id, milliseconds budget)
    {
        if (!m_connection)
            m_connection = connection::dial(m_port);
        if (!m_connection)
            return std::nullopt;
        std::optional<message> answer;
        if (m_connection->write(requestText(method, target, id, budget)))
            answer = m_connection->read(budget + 1s, true);
        if (!answer || answer->header("Connection") == "close")
            m_connection.reset();
        return answer;
    }

private:
    std::uint16_t m_port;
    std::unique_ptr<connection> m_connection;
};

/** Returns the status of an answer for the record. */
inline std::string statusText(const std::optional<message> &answer)
{
    return answer ? std::to_string(answer->status()) : "no answer";
}

/** Runs a number of requesters at the same time. */
inline void runRequesters(int count, const std::function<void()> &act)
{
    std::vector<std::thread> requesters;
    for (int number = 0; number < count; ++number)
        requesters.emplace_back(act);
    for (std::thread &requester : requesters)
        requester.join();
}

} // namespace rig
