#include <mustardcourse/store/store_port.h>

namespace mustardcourse::store {

std::string_view nameOf(store_failure failure)
{
    switch (failure) {
    case store_failure::None:
        return "none";
    case store_failure::Refused:
        return "refused";
    case store_failure::NotFound:
        return "not-found";
    case store_failure::HistoryCompacted:
        return "history-gone";
    case store_failure::Conflict:
        return "conflict";
    case store_failure::Unanswered:
        return "unanswered";
    case store_failure::Malformed:
        return "malformed";
    case store_failure::Oversized:
        return "oversized";
    case store_failure::Outdated:
        return "outdated";
    }
    return "unknown";
}

} // namespace mustardcourse::store
