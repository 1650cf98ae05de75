#pragma once

#include <mustardcourse/core/clock.h>

#include <sched.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace mustardcourse::tests {

/** Returns how long a thread of this process has waited for a processor, or zero if the system does
    not report it. */
inline duration processorWait(const std::string &thread)
{
    std::ifstream statistics("/proc/" + thread + "/schedstat");
    std::int64_t ran = 0;
    std::int64_t waited = 0;
    statistics >> ran >> waited;
    return std::chrono::nanoseconds(waited);
}

/**
    Measures how long the processor of this thread ran other virtual machines, in steps of 10 ms.

    The thread's own statistics count such a time as if it had run, and a thread on another
    processor doesn't notice it.
*/
class stolen_time
{
public:
    stolen_time()
        : m_processor(currentProcessor())
        , m_begin(readAll())
    { }

    /** Returns the time since the construction, on the processors of then and of now. */
    [[nodiscard]] duration sinceBegin() const
    {
        const std::vector<duration> now = readAll();
        duration total{0};
        for (const std::size_t processor : std::set{m_processor, currentProcessor()}) {
            if (processor < std::min(now.size(), m_begin.size()))
                total += now[processor] - m_begin[processor];
        }
        return total;
    }

private:
    static std::size_t currentProcessor() { return static_cast<std::size_t>(::sched_getcpu()); }

    /** Returns the stolen time of each processor; nothing if the system does not report it. */
    static std::vector<duration> readAll()
    {
        constexpr std::chrono::milliseconds tick{10};
        constexpr int precedingColumns = 7;
        std::vector<duration> all;
        std::ifstream statistics("/proc/stat");
        std::string line;
        std::getline(statistics, line); // All processors together.
        while (std::getline(statistics, line) && line.starts_with("cpu")) {
            std::istringstream columns(line);
            std::string name;
            std::int64_t value = 0;
            columns >> name;
            for (int column = 0; column <= precedingColumns; ++column)
                columns >> value;
            all.push_back(value * tick);
        }
        return all;
    }

    std::size_t m_processor;
    std::vector<duration> m_begin;
};

/**
    Finds the times in which the whole process was stopped, as a virtual machine can be.

    A thread that only sleeps wakes up late after such a time. Neither the work of other threads nor
    its own wait for a processor counts.
*/
class stopped_time
{
public:
    stopped_time()
        : m_thread([this] { observe(); })
    { }
    ~stopped_time()
    {
        m_isEnding = true;
        m_thread.join();
    }
    stopped_time(const stopped_time &) = delete;
    stopped_time &operator=(const stopped_time &) = delete;

    /** Returns how much of a time the process was stopped. Call it some milliseconds later. */
    [[nodiscard]] duration within(time_point begin, time_point end)
    {
        const std::lock_guard lock(m_mutex);
        duration total{0};
        for (const interval &stop : m_stops) {
            const duration overlap = std::min(end, stop.end) - std::max(begin, stop.begin);
            total += std::max(overlap, duration::zero());
        }
        return total;
    }

private:
    struct interval
    {
        time_point begin;
        time_point end;
    };

    void observe()
    {
        constexpr std::chrono::milliseconds sleepTime{1};
        constexpr std::chrono::milliseconds minimumStop{3};
        while (!m_isEnding) {
            const time_point begin = std::chrono::steady_clock::now();
            const duration waitBefore = processorWait("thread-self");
            std::this_thread::sleep_for(sleepTime);
            const duration waited = processorWait("thread-self") - waitBefore;
            const time_point end = std::chrono::steady_clock::now();
            const duration stopTime = end - begin - sleepTime - waited;
            if (stopTime < minimumStop)
                continue;
            const std::lock_guard lock(m_mutex);
            m_stops.push_back({end - stopTime, end});
        }
    }

    std::mutex m_mutex;
    std::vector<interval> m_stops;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

} // namespace mustardcourse::tests
