#include <LibCluster/DutyThread.h>

#include <LibObserve/EventLog.h>

#include <atomic>
#include <future>
#include <stdexcept>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace GraniteField::Cluster {

namespace {

/// Throws in its first step.
class FailingDuty {
public:
    void set_watching(bool) { }
    Core::Milliseconds step()
    {
        if (m_steps++ == 0)
            throw std::runtime_error("a step that throws");
        if (m_steps == 2)
            m_went_on.set_value();
        return Core::Milliseconds(1);
    }
    void release() { }

    [[nodiscard]] std::future<void> went_on() { return m_went_on.get_future(); }

private:
    int m_steps {0};
    std::promise<void> m_went_on;
};

}

TEST(DutyThread, GoesOnAfterAStepThatThrowsAndCountsIt)
{
    Observe::MetricRegistry metrics;
    auto const descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    Observe::EventLog log(descriptor, "g-1", Core::Incarnation(1), metrics);
    FailingDuty duty;
    auto went_on = duty.went_on();
    {
        DutyThread<FailingDuty> const thread(
            duty, [] { return true; }, Observe::UnexpectedFailures("duty", log, metrics));
        EXPECT_EQ(went_on.wait_for(std::chrono::seconds(20)), std::future_status::ready);
    }
    EXPECT_EQ(metrics.counter("granitefield_unexpected_failures_total", {{"thread", "duty"}}).value(), 1U);
    ::close(descriptor);
}

}
