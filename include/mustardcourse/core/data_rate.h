#pragma once

namespace mustardcourse {

/** Data rate of a network link. */
class data_rate
{
public:
    static constexpr data_rate megabitsPerSecond(double megabits)
    {
        constexpr double bytesPerMegabit = 125'000;
        return data_rate(megabits * bytesPerMegabit);
    }

    [[nodiscard]] constexpr double bytesPerSecond() const noexcept { return m_bytesPerSecond; }

    friend constexpr bool operator==(const data_rate &, const data_rate &) = default;

private:
    explicit constexpr data_rate(double bytesPerSecond) noexcept
        : m_bytesPerSecond(bytesPerSecond)
    { }

    double m_bytesPerSecond;
};

} // namespace mustardcourse
