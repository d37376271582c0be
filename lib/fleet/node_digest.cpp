#include "eelgrassbend/fleet/node_digest.h"

#include "eelgrassbend/codec/capnp_bytes.h"

#include "crash_report_codec.h"
#include "fleet.capnp.h"
#include "rollout_codec.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Upper bounds of the bytes that an item adds to a packed digest, excluding its name.
static constexpr std::size_t work_bytes = 24;
static constexpr std::size_t fixed_bytes = 160;
static constexpr std::size_t count_bytes = 16;

static std::size_t bytes_without_work(const node_digest& digest)
{
    std::size_t bytes = fixed_bytes + digest.node.value().size() + digest.zone.value().size();
    for (const auto& [service, seconds] : digest.demand) {
        bytes += count_bytes + service.value().size();
    }
    bytes += count_bytes * digest.slot_demand.size();
    for (const auto& entry : digest.leaving_endpoints) {
        bytes += count_bytes + entry.endpoint.value().size();
    }
    bytes += crash_report_bytes(digest.crashes);
    for (const auto& entry : digest.paces) {
        bytes += work_bytes + entry.endpoint.value().size();
    }
    bytes += rollout_grant_bytes(digest.grants);
    for (const auto& [organisation, units] : digest.admitted) {
        bytes += count_bytes + organisation.value().size();
    }
    for (const auto& [window, counts] : digest.usage) {
        bytes += count_bytes;
        for (const auto& [organisation, requests] : counts) {
            bytes += count_bytes + organisation.value().size();
        }
    }
    return bytes;
}

using work_entry = std::pair<endpoint_id, endpoint_work>;

/// Selects the work entries that fit the digest, largest first.
static std::vector<work_entry> select_fitting_work(const node_digest& digest)
{
    std::vector<work_entry> entries{digest.work.begin(), digest.work.end()};
    std::sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return std::tie(right.second.requests, left.first) <
               std::tie(left.second.requests, right.first);
    });
    std::size_t bytes = bytes_without_work(digest);
    std::size_t fitting_count = 0;
    while (fitting_count < entries.size()) {
        bytes += work_bytes + entries[fitting_count].first.value().size();
        if (bytes > max_digest_bytes) {
            break;
        }
        ++fitting_count;
    }
    entries.resize(fitting_count);
    return entries;
}

template <typename List>
static unsigned list_size(const List& list)
{
    return static_cast<unsigned>(list.size());
}

using usage_windows = std::map<usage_window, usage_counts>;

static void write_usage(const usage_windows& usage, capnp::List<wire::UsageWindow>::Builder windows)
{
    unsigned index = 0;
    for (const auto& [window, counts] : usage) {
        auto entry = windows[index++];
        entry.setWindow(window.value());
        auto list = entry.initCounts(list_size(counts));
        unsigned position = 0;
        for (const auto& [organisation, requests] : counts) {
            list[position].setOrganisation(organisation.value());
            list[position].setRequests(requests);
            ++position;
        }
    }
}

static usage_windows read_usage(capnp::List<wire::UsageWindow>::Reader windows)
{
    usage_windows usage;
    for (const auto entry : windows) {
        auto& counts = usage[usage_window{entry.getWindow()}];
        for (const auto count : entry.getCounts()) {
            counts[organisation_id{to_string(count.getOrganisation())}] = count.getRequests();
        }
    }
    return usage;
}

// A service with slot time has engine time too, so each entry of the list is one of `demand`.
static void write_demand(const service_demand& demand, const service_demand& slot_demand,
                         capnp::List<wire::ServiceDemand>::Builder out)
{
    unsigned index = 0;
    for (const auto& [service, seconds] : demand) {
        out[index].setService(service.value());
        out[index].setSeconds(seconds);
        if (const auto found = slot_demand.find(service); found != slot_demand.end()) {
            out[index].setSlotSeconds(found->second);
        }
        ++index;
    }
}

static void read_demand(capnp::List<wire::ServiceDemand>::Reader in, service_demand& demand,
                        service_demand& slot_demand)
{
    for (const auto entry : in) {
        const service_id service{to_string(entry.getService())};
        demand[service] = entry.getSeconds();
        if (entry.getSlotSeconds() > 0.0) {
            slot_demand[service] = entry.getSlotSeconds();
        }
    }
}

static void write_address(const network_address& address, wire::Address::Builder out)
{
    out.setIp(address.ip);
    out.setPort(address.port);
}

static network_address read_address(wire::Address::Reader in)
{
    return {to_string(in.getIp()), in.getPort()};
}

static void write_work(const work_range& range, wire::GroupSummary::Builder out)
{
    out.setHasWork(true);
    out.setWorkFrom(range.from);
    out.setWorkTo(range.to);
    auto list = out.initWork(list_size(range.work));
    unsigned index = 0;
    for (const auto& [key, work] : range.work) {
        auto entry = list[index++];
        entry.setEndpoint(key);
        entry.setRequests(work.requests);
        entry.setWaitingPrompt(work.waiting_prompt);
        entry.setMemory(work.memory);
    }
}

static void write_summary(const group_summary& summary, wire::GroupSummary::Builder out)
{
    out.setGroup(summary.group.value());
    out.setHeard(summary.reporting_nodes);
    out.setServing(summary.serving_nodes);
    if (summary.duty_holder) {
        write_address(*summary.duty_holder, out.initHolder());
    }
    if (summary.work) {
        write_work(*summary.work, out);
    }
    auto admitted = out.initAdmitted(list_size(summary.admitted));
    unsigned index = 0;
    for (const auto& [key, units] : summary.admitted) {
        admitted[index].setOrganisation(key);
        admitted[index++].setUnits(units);
    }
    auto ready = out.initReady(list_size(summary.ready));
    for (index = 0; index < summary.ready.size(); ++index) {
        write_address(summary.ready[index], ready[index]);
    }
    write_usage(summary.usage, out.initUsage(list_size(summary.usage)));
    write_demand(summary.demand, summary.slot_demand, out.initDemand(list_size(summary.demand)));
}

static group_summary read_summary(wire::GroupSummary::Reader in)
{
    group_summary summary;
    summary.group = group_id{to_string(in.getGroup())};
    summary.reporting_nodes = in.getHeard();
    summary.serving_nodes = in.getServing();
    if (in.getHolder().getPort() != 0) {
        summary.duty_holder = read_address(in.getHolder());
    }
    if (in.getHasWork()) {
        summary.work = work_range{in.getWorkFrom(), in.getWorkTo(), {}};
        for (const auto entry : in.getWork()) {
            summary.work->work[entry.getEndpoint()] = {entry.getRequests(),
                                                       entry.getWaitingPrompt(), entry.getMemory()};
        }
    }
    for (const auto entry : in.getAdmitted()) {
        summary.admitted[entry.getOrganisation()] = entry.getUnits();
    }
    for (const auto entry : in.getReady()) {
        summary.ready.push_back(read_address(entry));
    }
    summary.usage = read_usage(in.getUsage());
    read_demand(in.getDemand(), summary.demand, summary.slot_demand);
    return summary;
}

static void write_leaving(const node_digest& digest, wire::NodeDigest::Builder out)
{
    auto list = out.initLeavingEndpoints(list_size(digest.leaving_endpoints));
    for (unsigned index = 0; index < digest.leaving_endpoints.size(); ++index) {
        list[index].setEndpoint(digest.leaving_endpoints[index].endpoint.value());
        list[index].setStarted(digest.leaving_endpoints[index].started);
    }
}

static void write_positions(const node_digest& digest, wire::NodeDigest::Builder out)
{
    out.setReadsStore(digest.reads_store);
    out.setPositionsFrom(digest.positions_from.value());
    out.setEchoIncarnation(digest.echo.value_or(digest_number{}).incarnation);
    out.setEchoSequence(digest.echo.value_or(digest_number{}).sequence);
    auto positions = out.initPositions(list_size(digest.positions));
    unsigned index = 0;
    for (const auto& position : digest.positions) {
        auto entry = positions[index++];
        entry.setTopic(position.topic);
        entry.setFrom(position.from.value());
        entry.setTo(position.to.value());
        entry.setAgeMicros(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(position.age).count()));
        entry.setAfterGap(position.after_gap);
        entry.setIsEnd(position.is_end);
        entry.setEra(position.era.value());
        auto changes = entry.initChanges(list_size(position.changes));
        unsigned place = 0;
        for (const auto& record : position.changes) {
            auto change = changes[place++];
            change.setOffset(record.offset.value());
            change.setKey(record.key);
            change.setRemoved(!record.value);
            const auto& value = record.value.value_or(std::string{});
            change.setValue({reinterpret_cast<const kj::byte*>(value.data()), value.size()});
        }
    }
}

static topic_position read_position(wire::TopicPosition::Reader in)
{
    topic_position position;
    position.topic = to_string(in.getTopic());
    position.from = log_offset{in.getFrom()};
    position.to = log_offset{in.getTo()};
    position.age = std::chrono::microseconds{in.getAgeMicros()};
    position.after_gap = in.getAfterGap();
    position.is_end = in.getIsEnd();
    position.era = store_era{in.getEra()};
    for (const auto change : in.getChanges()) {
        store_record record{log_offset{change.getOffset()}, to_string(change.getKey()), {}};
        if (!change.getRemoved()) {
            const auto value = change.getValue().asChars();
            record.value = std::string{value.begin(), value.end()};
        }
        position.changes.push_back(std::move(record));
    }
    return position;
}

static std::uint64_t whole_microseconds(duration span)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::microseconds>(span).count()));
}

static void write_paces(const node_digest& digest, wire::NodeDigest::Builder out)
{
    auto list = out.initPaces(list_size(digest.paces));
    for (unsigned index = 0; index < digest.paces.size(); ++index) {
        const auto& totals = digest.paces[index];
        list[index].setEndpoint(totals.endpoint.value());
        list[index].setStarted(totals.started);
        list[index].setTakenMicros(whole_microseconds(totals.taken));
        list[index].setPredictedMicros(whole_microseconds(totals.predicted));
    }
}

// A total beyond a month would overflow the clock's representation.
static duration read_span(std::uint64_t micros)
{
    constexpr auto max_micros =
        static_cast<std::uint64_t>(std::chrono::microseconds{std::chrono::hours{24 * 30}}.count());
    return std::chrono::microseconds{std::min(micros, max_micros)};
}

std::string encode_digest(const node_digest& digest)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::NodeDigest>();
    out.setNode(digest.node.value());
    out.setIncarnation(digest.incarnation);
    out.setSequence(digest.sequence);
    out.setReady(digest.is_ready);
    out.setLeaving(digest.is_leaving);
    out.setCallersIp(digest.callers.ip);
    out.setCallersPort(digest.callers.port);
    out.setDatagramsIp(digest.datagrams.ip);
    out.setDatagramsPort(digest.datagrams.port);
    out.setZone(digest.zone.value());
    out.setHostMemoryMb(digest.host_memory_mb);
    out.setHoldsDuties(digest.duty_token.has_value());
    out.setDutyToken(digest.duty_token.value_or(fencing_token{}).value());
    out.setCarriesLoad(digest.carries_load);
    const auto work = select_fitting_work(digest);
    auto work_list = out.initWork(list_size(work));
    for (unsigned index = 0; index < work.size(); ++index) {
        work_list[index].setEndpoint(work[index].first.value());
        work_list[index].setRequests(work[index].second.requests);
        work_list[index].setWaitingPrompt(work[index].second.waiting_prompt);
        work_list[index].setMemory(work[index].second.memory);
    }
    auto admitted = out.initAdmitted(list_size(digest.admitted));
    unsigned index = 0;
    for (const auto& [organisation, units] : digest.admitted) {
        admitted[index].setOrganisation(organisation.value());
        admitted[index].setUnits(units);
        ++index;
    }
    write_usage(digest.usage, out.initUsage(list_size(digest.usage)));
    write_positions(digest, out);
    write_leaving(digest, out);
    write_demand(digest.demand, digest.slot_demand, out.initDemand(list_size(digest.demand)));
    write_paces(digest, out);
    if (digest.summary) {
        write_summary(*digest.summary, out.initSummary());
    }
    if (!digest.crashes.is_empty()) {
        write_crash_report(digest.crashes, out.initCrashes());
    }
    if (!digest.grants.empty()) {
        write_grants(digest.grants, out.initRolloutGrants(list_size(digest.grants)));
    }
    if (!digest.observations.empty()) {
        write_observations(digest.observations,
                           out.initRolloutObservations(list_size(digest.observations)));
    }
    return to_bytes(message);
}

static result<node_digest> read_digest(wire::NodeDigest::Reader in)
{
    node_digest digest;
    digest.node = node_id{to_string(in.getNode())};
    digest.incarnation = in.getIncarnation();
    digest.sequence = in.getSequence();
    digest.is_ready = in.getReady();
    digest.is_leaving = in.getLeaving();
    digest.callers = {to_string(in.getCallersIp()), in.getCallersPort()};
    digest.datagrams = {to_string(in.getDatagramsIp()), in.getDatagramsPort()};
    digest.zone = availability_zone{to_string(in.getZone())};
    digest.host_memory_mb = in.getHostMemoryMb();
    if (in.getHoldsDuties()) {
        digest.duty_token = fencing_token{in.getDutyToken()};
    }
    digest.carries_load = in.getCarriesLoad();
    for (const auto entry : in.getWork()) {
        digest.work[endpoint_id{to_string(entry.getEndpoint())}] = {
            entry.getRequests(), entry.getWaitingPrompt(), entry.getMemory()};
    }
    for (const auto entry : in.getAdmitted()) {
        digest.admitted[organisation_id{to_string(entry.getOrganisation())}] = entry.getUnits();
    }
    digest.usage = read_usage(in.getUsage());
    read_demand(in.getDemand(), digest.demand, digest.slot_demand);
    for (const auto entry : in.getLeavingEndpoints()) {
        digest.leaving_endpoints.push_back(
            {endpoint_id{to_string(entry.getEndpoint())}, entry.getStarted()});
    }
    for (const auto entry : in.getPaces()) {
        digest.paces.push_back({endpoint_id{to_string(entry.getEndpoint())}, entry.getStarted(),
                                read_span(entry.getTakenMicros()),
                                read_span(entry.getPredictedMicros())});
    }
    if (in.hasSummary()) {
        digest.summary = read_summary(in.getSummary());
    }
    if (in.hasCrashes()) {
        digest.crashes = read_crash_report(in.getCrashes());
    }
    digest.grants = read_grants(in.getRolloutGrants());
    digest.observations = read_observations(in.getRolloutObservations());
    digest.positions_from = group_id{to_string(in.getPositionsFrom())};
    digest.reads_store = in.getReadsStore();
    if (in.getEchoIncarnation() != 0) {
        digest.echo = digest_number{in.getEchoIncarnation(), in.getEchoSequence()};
    }
    for (const auto position : in.getPositions()) {
        digest.positions.push_back(read_position(position));
    }
    if (digest.node.value().empty()) {
        return make_error(errc::invalid_argument, "decode digest", {}, "no node");
    }
    return digest;
}

result<node_digest> decode_digest(std::string_view bytes)
{
    return from_bytes<node_digest, wire::NodeDigest>(bytes, "decode digest", read_digest);
}

} // namespace eelgrassbend
