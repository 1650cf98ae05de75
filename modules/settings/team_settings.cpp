#include <mustardcourse/settings/team_settings.h>

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace mustardcourse::settings {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view servicePrefix = "service ";
constexpr std::string_view shardPrefix = "shard ";
constexpr std::string_view dataCentrePrefix = "data_centre ";
constexpr std::uint64_t maximumShards = 10'000;

/** Parses a replica, written as a data centre and an address separated by a space. */
registers::replica readReplica(const section_reader &reader, const std::string &text)
{
    const auto separator = text.find(' ');
    if (separator == std::string::npos)
        reader.fail(settings_fault::BadValue, "replicas",
                    fmt::format("'{}' is not a data centre and an address", text));
    try {
        const auto address = text.find_first_not_of(' ', separator);
        return {endpoint::parse(text.substr(address)), data_centre_id(text.substr(0, separator))};
    } catch (const malformed_endpoint_error &failure) {
        reader.fail(settings_fault::BadValue, "replicas", failure.what());
    }
}

registers::shard readShard(const ini_document &document, const std::string &service,
                           std::uint64_t index, const ini_section &serviceSection)
{
    const std::string name = fmt::format("shard {}/{}", service, index);
    const ini_section *section = document.find(name);
    if (section == nullptr)
        throw settings_error(settings_fault::MissingSection,
                             {document.fileName(), serviceSection.line, name, ""},
                             "the section of this shard is missing");
    section_reader reader(document, *section);
    registers::shard shard;
    for (const std::string &text : reader.list("replicas")) {
        const registers::replica replica = readReplica(reader, text);
        const bool isDuplicate =
            std::any_of(shard.replicas.begin(), shard.replicas.end(),
                        [&](const auto &other) { return other.target == replica.target; });
        if (isDuplicate)
            reader.fail(settings_fault::Inconsistent, "replicas", "a target is listed twice");
        shard.replicas.push_back(replica);
    }
    reader.rejectUnknownKeys();
    return shard;
}

service_settings readService(const team_settings &team, const ini_document &document,
                             const ini_section &section)
{
    const std::string name = section.name.substr(servicePrefix.size());
    section_reader reader(document, section);
    const std::uint64_t shardCount = reader.count("shards", 1, maximumShards);
    registers::target_capacity capacity;
    capacity.slots = reader.count("slots", 1, 10'000);
    capacity.connections = reader.count("connections", 1, 100'000);
    if (capacity.connections < capacity.slots)
        reader.fail(settings_fault::Inconsistent, "connections",
                    "the value is less than that of slots");

    service_settings service;
    service.deadline = reader.duration("deadline", 1s, 1ms, 10min);
    service.hitLimit = reader.count("hit_limit", service.hitLimit, 1, 10'000);
    reader.rejectUnknownKeys();

    std::vector<registers::shard> shards;
    for (std::uint64_t index = 0; index < shardCount; ++index)
        shards.push_back(readShard(document, name, index, section));
    service.map = std::make_shared<registers::shard_map>(
        service_id(name), team.team, team.settingsRevision, std::move(shards), capacity);
    return service;
}

void readDataCentre(team_settings &settings, const ini_document &document,
                    const ini_section &section)
{
    section_reader reader(document, section);
    const std::string state = reader.choice("state", "in", {"in", "out"});
    reader.rejectUnknownKeys();
    if (state == "out")
        settings.dataCentresOut.insert(
            data_centre_id(section.name.substr(dataCentrePrefix.size())));
}

void checkShardSection(const team_settings &settings, const ini_document &document,
                       const ini_section &section)
{
    const std::string name = section.name.substr(shardPrefix.size());
    const auto slash = name.rfind('/');
    const auto service = settings.services.find(service_id(name.substr(0, slash)));
    const auto fail = [&](const char *detail) {
        throw settings_error(settings_fault::UnknownSection,
                             {document.fileName(), section.line, section.name, ""}, detail);
    };
    if (slash == std::string::npos || service == settings.services.end())
        fail("the shard does not belong to any service");
    const std::string index = name.substr(slash + 1);
    const std::size_t shardCount = service->second.map->shardCount();
    for (std::size_t existing = 0; existing < shardCount; ++existing) {
        if (index == std::to_string(existing))
            return;
    }
    fail("the service has fewer shards");
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

team_settings team_settings::read(const team_id &team, revision settingsRevision,
                                  const ini_document &document)
{
    team_settings settings;
    settings.team = team;
    settings.settingsRevision = settingsRevision;
    for (const ini_section &section : document.sections()) {
        if (section.name.starts_with(servicePrefix)) {
            service_settings service = readService(settings, document, section);
            settings.services.emplace(service.map->service(), std::move(service));
        } else if (section.name.starts_with(dataCentrePrefix)) {
            readDataCentre(settings, document, section);
        } else if (!section.name.starts_with(shardPrefix)) {
            throw settings_error(settings_fault::UnknownSection,
                                 {document.fileName(), section.line, section.name, ""},
                                 "no such section");
        }
    }
    for (const ini_section &section : document.sections()) {
        if (section.name.starts_with(shardPrefix))
            checkShardSection(settings, document, section);
    }
    return settings;
}

std::string withDataCentreState(const std::string &text, const data_centre_id &dataCentre,
                                bool isOut)
{
    const ini_document document = ini_document::parse("subtree", text);
    const std::string name = fmt::format("data_centre {}", dataCentre.value());
    const std::string entry = fmt::format("state = {}", isOut ? "out" : "in");
    std::vector<std::string> lines = splitLines(text);
    const ini_section *section = document.find(name);
    if (section == nullptr) {
        lines.push_back(fmt::format("[{}]", name));
        lines.push_back(entry);
    } else if (section->entries.empty()) {
        lines.insert(lines.begin() + section->line, entry);
    } else {
        for (const ini_entry &existing : section->entries) {
            if (existing.key == "state")
                lines[static_cast<std::size_t>(existing.line) - 1] = entry;
        }
    }
    return fmt::format("{}\n", fmt::join(lines, "\n"));
}

} // namespace mustardcourse::settings
