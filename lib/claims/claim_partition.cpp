#include "claim_partition.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace eelgrassbend {

static constexpr int longest_back_off = 4; ///< doublings of the retry delay

static record_verdict verdict_of_kind(verdict_kind kind)
{
    return {kind, {}};
}

/// Whether the log says that nothing was appended.
static bool nothing_appended(const error& failure)
{
    return failure.code == errc::unavailable || failure.code == errc::rate_limited;
}

claim_partition::claim_partition(claim_context& context, std::uint32_t number)
    : context(context), number(number), stream(claim_stream(number)), table(context.settings.table)
{
}

void claim_partition::submit(claim_record record, duration patience, bool served, done_handler done)
{
    auto pending = std::make_shared<pending_record>();
    pending->record = std::move(record);
    pending->served = served;
    pending->done = std::move(done);
    pending->give_up =
        this->context.on.timer.call_after(patience, [this, pending] { this->give_up(pending); });
    this->queue.push_back(std::move(pending));
    this->schedule();
}

void claim_partition::give_up(const pending_pointer& pending)
{
    const bool under_way =
        std::find(this->flight.begin(), this->flight.end(), pending) != this->flight.end();
    if (!under_way) {
        std::erase(this->queue, pending);
    }
    const bool maybe = under_way || pending->maybe_appended;
    this->settle(pending, verdict_of_kind(maybe ? verdict_kind::maybe_appended
                                                : verdict_kind::not_appended));
}

void claim_partition::settle(const pending_pointer& pending, const record_verdict& verdict)
{
    if (!pending->done) {
        return;
    }
    this->context.on.timer.cancel(pending->give_up);
    const auto done = std::exchange(pending->done, nullptr);
    done(verdict);
}

const claim_holder* claim_partition::finished_holder(const claim_key& key) const
{
    const auto* holder = this->table.holder(key);
    return holder != nullptr && holder->end == claim_end::finished ? holder : nullptr;
}

void claim_partition::schedule()
{
    if (this->scheduled || !this->flight.empty() || this->queue.empty()) {
        return;
    }
    this->scheduled = true;
    auto& timer = this->context.on.timer;
    const auto wait =
        std::max<duration>(this->context.settings.batch_window, this->not_before - timer.now());
    timer.call_after(wait, [this] {
        this->scheduled = false;
        this->send();
    });
}

void claim_partition::send()
{
    this->flight = this->take_batch();
    if (this->flight.empty()) {
        return;
    }
    if (const auto* owner = this->owner_to_ask()) {
        this->ask(*owner);
        return;
    }
    this->append();
}

claim_partition::pending_batch claim_partition::take_batch()
{
    pending_batch batch;
    while (!this->queue.empty() && batch.size() < this->context.settings.batch_records) {
        batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    return batch;
}

bool claim_partition::is_owner()
{
    const auto& owners = this->context.owners.of(this->number);
    return !owners.empty() && owners.front().id == this->context.on.members.self().id;
}

const member* claim_partition::owner_to_ask()
{
    const bool any_served = std::any_of(this->flight.begin(), this->flight.end(),
                                        [](const auto& pending) { return pending->served; });
    if (any_served) {
        return nullptr;
    }
    for (const auto& owner : this->context.owners.of(this->number)) {
        if (owner.id == this->context.on.members.self().id) {
            return nullptr;
        }
        const auto penalty = this->context.penalties.find(owner.id);
        if (penalty == this->context.penalties.end() ||
            penalty->second <= this->context.on.timer.now()) {
            return &owner;
        }
    }
    return nullptr;
}

void claim_partition::ask(const member& owner)
{
    claim_batch batch;
    batch.partition = this->number;
    for (const auto& pending : this->flight) {
        batch.records.push_back(pending->record);
    }
    ++this->context.statistics.owner_calls;
    this->context.on.peers.call(owner.calls, peer_method::claim, encode_claim_batch(batch),
                                this->context.settings.owner_timeout,
                                [this, id = owner.id](const result<std::string>& answer) {
                                    this->on_owner_answer(id, answer);
                                });
}

void claim_partition::on_owner_answer(const node_id& owner, const result<std::string>& answer)
{
    if (!this->take_verdicts(answer)) {
        ++this->context.statistics.owner_failures;
        this->context.penalties[owner] =
            this->context.on.timer.now() + this->context.settings.owner_penalty;
        this->context.on.events.write(
            log_level::warning, "claim_owner_failed",
            {{"owner", owner.value()},
             {"stream", this->stream.value()},
             {"error", answer ? "batch not appended whole" : answer.error().to_string()}});
    }
    this->requeue();
}

/// False if the owner did not settle every record.
bool claim_partition::take_verdicts(const result<std::string>& answer)
{
    const auto maybe = [this] {
        for (const auto& pending : this->flight) {
            pending->maybe_appended = true;
        }
        return false;
    };
    if (!answer) {
        return answer.error().code == errc::unavailable ? false : maybe();
    }
    const auto verdicts = decode_verdicts(answer.value());
    if (!verdicts || verdicts.value().size() != this->flight.size()) {
        return maybe();
    }
    bool whole = true;
    for (std::size_t index = 0; index < this->flight.size(); ++index) {
        const auto& verdict = verdicts.value()[index];
        if (verdict.kind > verdict_kind::maybe_appended) {
            this->settle(this->flight[index], verdict);
            continue;
        }
        whole = false;
        this->flight[index]->maybe_appended |= verdict.kind == verdict_kind::maybe_appended;
    }
    return whole;
}

void claim_partition::append()
{
    std::vector<new_log_record> records;
    for (const auto& pending : this->flight) {
        const auto& record = pending->record;
        records.push_back({id_of(record.kind, record.request), encode_claim_record(record)});
    }
    this->not_before = this->context.on.timer.now() + this->context.settings.append_interval;
    ++this->context.statistics.appends;
    this->context.statistics.appended_records += records.size();
    this->context.on.log.append(
        this->stream, std::move(records),
        [this](const result<std::vector<log_offset>>& offsets) { this->on_appended(offsets); });
}

void claim_partition::on_appended(const result<std::vector<log_offset>>& offsets)
{
    if (offsets && offsets.value().size() == this->flight.size()) {
        this->failures = 0;
        this->read(offsets.value().back());
        return;
    }
    ++this->context.statistics.log_failures;
    if (!offsets && nothing_appended(offsets.error())) {
        this->back_off();
        this->requeue();
        return;
    }
    for (const auto& pending : this->flight) {
        pending->maybe_appended = true;
    }
    this->read(std::nullopt);
}

void claim_partition::read(std::optional<log_offset> target)
{
    ++this->context.statistics.reads;
    this->context.on.log.read(
        this->stream, this->cursor, this->context.settings.page_records,
        [this, target](const result<log_page>& page) { this->on_page(target, page); });
}

void claim_partition::on_page(std::optional<log_offset> target, const result<log_page>& page)
{
    if (!page) {
        ++this->context.statistics.log_failures;
        if (!this->anyone_waits()) {
            this->requeue();
            return;
        }
        this->context.on.timer.call_after(this->take_retry_delay(),
                                          [this, target] { this->read(target); });
        return;
    }
    this->failures = 0;
    this->apply(page.value());
    const bool reached = target ? this->cursor > *target : this->cursor >= page.value().end;
    if (!reached) {
        this->read(target);
        return;
    }
    this->settle_flight(target.has_value());
}

void claim_partition::apply(const log_page& page)
{
    const bool gap = page.first_retained > this->cursor;
    if (!this->ever_read || gap) {
        this->context.statistics.gaps += this->ever_read ? 1 : 0;
        this->table.restart(page.first_retained == log_offset{0});
        this->ever_read = true;
        this->cursor = std::max(this->cursor, page.first_retained);
    }
    this->context.statistics.read_records += page.records.size();
    for (const auto& record : page.records) {
        if (record.offset < this->cursor) {
            continue;
        }
        this->table.apply(record);
        this->cursor = record.offset + log_offset{1};
    }
}

/// `whole`: all records of the flight were appended and have been read. Otherwise only those
/// that were read are settled, and the others are tried again under the same ids.
void claim_partition::settle_flight(bool whole)
{
    for (const auto& pending : this->flight) {
        if (whole || this->table.applied(pending->record)) {
            this->settle(pending, this->verdict_of(pending->record));
        }
    }
    if (!whole) {
        this->back_off();
    }
    this->requeue();
}

record_verdict claim_partition::verdict_of(const claim_record& record) const
{
    if (record.kind != claim_record_kind::claim) {
        return verdict_of_kind(verdict_kind::appended);
    }
    switch (this->table.verdict(record.key, record.request)) {
    case claim_verdict::won:
        return verdict_of_kind(verdict_kind::won);
    case claim_verdict::held:
        return {verdict_kind::held, *this->table.holder(record.key)};
    case claim_verdict::vacant:
        return verdict_of_kind(verdict_kind::vacant);
    case claim_verdict::expired:
        return verdict_of_kind(verdict_kind::expired);
    case claim_verdict::overused:
        return verdict_of_kind(verdict_kind::overused);
    case claim_verdict::uncovered:
        break;
    }
    return verdict_of_kind(verdict_kind::uncovered);
}

/// Ends the flight; what is not settled goes back to the front of the queue.
void claim_partition::requeue()
{
    const auto ended = std::exchange(this->flight, {});
    for (auto pending = ended.rbegin(); pending != ended.rend(); ++pending) {
        if ((*pending)->done) {
            this->queue.push_front(*pending);
        }
    }
    this->schedule();
}

void claim_partition::back_off()
{
    const auto until = this->context.on.timer.now() + this->take_retry_delay();
    this->not_before = std::max(this->not_before, until);
}

bool claim_partition::anyone_waits() const
{
    return std::any_of(this->flight.begin(), this->flight.end(),
                       [](const auto& pending) { return static_cast<bool>(pending->done); });
}

duration claim_partition::take_retry_delay()
{
    const auto doublings = std::min(this->failures, longest_back_off);
    ++this->failures;
    return this->context.settings.retry_delay * (1 << doublings);
}

} // namespace eelgrassbend
