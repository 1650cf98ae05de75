#include "property.h"

#include <mustardcourse/limits/permit_gate.h>
#include <mustardcourse/limits/retry_budget.h>
#include <mustardcourse/limits/token_bucket.h>
#include <mustardcourse/limits/wait_queue.h>

#include <algorithm>

using namespace mustardcourse;
using namespace mustardcourse::limits;

namespace {

constexpr permit_settings fourSlots{.slots = 4, .coldPermits = 1, .successesPerStep = 2};

void succeed(permit_gate &gate, int times)
{
    for (int i = 0; i < times; ++i) {
        REQUIRE(gate.tryAcquire());
        gate.releaseAfterSuccess();
    }
}

} // namespace

TEST_CASE("a token bucket never exceeds its rate and capacity in any time window")
{
    CHECK_PROPERTY("windows", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &calls) {
        constexpr double rate = 100;
        constexpr double capacity = 40;
        manual_clock clock;
        limits::token_bucket bucket(rate, capacity, clock.now());
        std::vector<std::pair<time_point, double>> spent;
        for (const auto &[pause, amount] : calls) {
            clock.advance(std::chrono::milliseconds(pause));
            if (bucket.trySpend(amount % 50, clock.now()))
                spent.emplace_back(clock.now(), amount % 50);
        }
        for (std::size_t first = 0; first < spent.size(); ++first) {
            double total = 0;
            for (std::size_t last = first; last < spent.size(); ++last) {
                total += spent[last].second;
                const std::chrono::duration<double> window = spent[last].first - spent[first].first;
                RC_ASSERT(total <= capacity + rate * window.count() + 1e-6);
            }
        }
    });
}

TEST_CASE("a target warms up with successes and is reset to cold by a failure or a restart")
{
    struct row
    {
        const char *name;
        void (*reset)(permit_gate &);
    };
    const row rows[] = {
        {"refused",
         [](permit_gate &gate) {
             REQUIRE(gate.tryAcquire());
             gate.releaseAfterFailure();
         }},
        {"restarted", [](permit_gate &gate) { gate.observeIncarnation(incarnation(2)); }},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        permit_gate gate(fourSlots);
        gate.observeIncarnation(incarnation(1));
        CHECK(gate.state() == warmup_state::Cold);
        succeed(gate, 2);
        CHECK(gate.state() == warmup_state::Warming);
        succeed(gate, 4);
        CHECK(gate.state() == warmup_state::Warm);
        CHECK(gate.limit() == 4);
        item.reset(gate);
        CHECK(gate.state() == warmup_state::Cold);
        CHECK(gate.limit() == 1);
    }
}

TEST_CASE("permits stay within the limit and the limit stays within the slots")
{
    CHECK_PROPERTY("permit gate", [](const std::vector<std::uint8_t> &events) {
        permit_gate gate(fourSlots);
        std::size_t inUse = 0;
        std::uint64_t latestIncarnation = 1;
        for (const std::uint8_t event : events) {
            const std::size_t limitBefore = gate.limit();
            switch (event % 5) {
            case 0:
                if (gate.tryAcquire()) {
                    ++inUse;
                    RC_ASSERT(inUse <= limitBefore);
                } else {
                    RC_ASSERT(inUse >= limitBefore);
                }
                break;
            case 1:
                if (inUse > 0) {
                    --inUse;
                    gate.releaseAfterSuccess();
                }
                break;
            case 2:
                if (inUse > 0) {
                    --inUse;
                    gate.releaseAfterFailure();
                    RC_ASSERT(gate.limit() == fourSlots.coldPermits);
                }
                break;
            case 3:
                if (inUse > 0) {
                    --inUse;
                    gate.release();
                }
                break;
            default:
                gate.observeIncarnation(incarnation(++latestIncarnation));
                break;
            }
            RC_ASSERT(gate.inUse() == inUse);
            RC_ASSERT(gate.limit() <= fourSlots.slots);
        }
    });
}

TEST_CASE("the queue orders by class and then deadline and evicts a lower class when full")
{
    const time_point now = manual_clock().now();
    wait_queue queue(3);
    queue.push(1, customer_class::Low, now + std::chrono::seconds(1));
    queue.push(2, customer_class::Normal, now + std::chrono::seconds(9));
    queue.push(3, customer_class::Normal, now + std::chrono::seconds(5));
    CHECK(queue.push(4, customer_class::Low, now + std::chrono::seconds(1)).outcome
          == push_outcome::Refused);
    const push_result pushed = queue.push(5, customer_class::High, now + std::chrono::seconds(9));
    CHECK(pushed.outcome == push_outcome::QueuedAfterEviction);
    CHECK(pushed.evictedTicket == 1);
    CHECK(queue.pop(now) == 5);
    CHECK(queue.pop(now) == 3);
    CHECK(queue.pop(now + std::chrono::seconds(9)) == std::nullopt);
    CHECK(queue.takeExpired(now + std::chrono::seconds(9)) == std::vector<wait_ticket>{2});
    CHECK(queue.size() == 0);
}

TEST_CASE("the queue loses no waiter")
{
    CHECK_PROPERTY("wait queue", [](const std::vector<std::uint16_t> &events) {
        const time_point now = manual_clock().now();
        wait_queue queue(8);
        std::vector<wait_ticket> waiting;
        wait_ticket next = 0;
        for (const std::uint16_t event : events) {
            if (event % 3 == 0) {
                const auto popped = queue.pop(now);
                RC_ASSERT(popped.has_value() == !waiting.empty());
                if (popped)
                    RC_ASSERT(std::erase(waiting, *popped) == 1);
                continue;
            }
            const auto importance = static_cast<customer_class>(event % 7 % 3);
            const auto deadline = now + std::chrono::milliseconds(1 + event);
            const push_result pushed = queue.push(++next, importance, deadline);
            if (pushed.outcome != push_outcome::Refused)
                waiting.push_back(next);
            if (pushed.outcome == push_outcome::QueuedAfterEviction)
                RC_ASSERT(std::erase(waiting, pushed.evictedTicket) == 1);
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 8U);
        }
    });
}

TEST_CASE("retries stay within their fraction of the load")
{
    retry_budget budget(0.1);
    std::size_t spent = 0;
    for (int call = 0; call < 10'000; ++call) {
        budget.earn(1);
        spent += budget.trySpend() ? 1 : 0;
    }
    CHECK(spent <= 100 + 1000);
    CHECK(spent >= 1000);
}
