#include <mustardcourse/store/store_port.h>

#include <algorithm>
#include <set>
#include <string_view>

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

std::size_t payloadSize(const store_batch &batch)
{
    std::size_t size = 0;
    for (const store_item &item : batch.items)
        size += item.key.size() + item.value.size();
    return size;
}

std::vector<std::size_t> newestItems(const std::vector<store_item> &items)
{
    std::set<std::string_view> seenKeys;
    std::vector<std::size_t> indices;
    for (std::size_t index = items.size(); index-- > 0;) {
        if (seenKeys.insert(items[index].key).second)
            indices.push_back(index);
    }
    std::reverse(indices.begin(), indices.end());
    return indices;
}

} // namespace mustardcourse::store
