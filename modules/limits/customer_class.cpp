#include <mustardcourse/limits/customer_class.h>

namespace mustardcourse::limits {

std::string_view nameOf(customer_class importance)
{
    switch (importance) {
    case customer_class::Low:
        return "low";
    case customer_class::Normal:
        return "normal";
    case customer_class::High:
        return "high";
    }
    return "unknown";
}

std::optional<customer_class> customerClassFromName(std::string_view name)
{
    for (const auto importance :
         {customer_class::Low, customer_class::Normal, customer_class::High}) {
        if (name == nameOf(importance))
            return importance;
    }
    return std::nullopt;
}

} // namespace mustardcourse::limits
