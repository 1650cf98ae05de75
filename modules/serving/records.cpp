#include <mustardcourse/serving/records.h>

#include <algorithm>
#include <cstring>
#include <functional>

namespace mustardcourse::serving {

std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies) {
        for (std::size_t offset = 0; offset + recordBytes <= body.size(); offset += recordBytes)
            records.push_back(body.substr(offset, recordBytes));
    }
    const auto resultCount = static_cast<std::ptrdiff_t>(std::min(count, records.size()));
    // string_view compares as unsigned bytes, which is the required order.
    std::partial_sort(records.begin(), records.begin() + resultCount, records.end(),
                      std::greater<>());
    std::string merged;
    merged.reserve(static_cast<std::size_t>(resultCount) * recordBytes);
    for (auto record = records.begin(); record != records.begin() + resultCount; ++record)
        merged.append(*record);
    return merged;
}

} // namespace mustardcourse::serving
