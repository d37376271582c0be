#include "eelgrassbend/bundle/bundle_stream_reader.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::size_t records_a_read = 64;
static constexpr std::uint64_t first_search_window = 64; ///< records
static constexpr const char* step = "read bundle stream";

bundle_stream_reader::bundle_stream_reader(const clock_source& clock, log_client& log,
                                           stream_name stream, bundle_fold& fold)
    : clock(clock), log(log), stream(std::move(stream)), fold(fold)
{
}

void bundle_stream_reader::observe(decision_observer on_decision, adoption_observer on_adoption)
{
    this->decided = std::move(on_decision);
    this->adopted = std::move(on_adoption);
}

void bundle_stream_reader::catch_up(done_handler done)
{
    this->read_next(done);
}

void bundle_stream_reader::read(log_offset from, std::size_t limit, const done_handler& done,
                                std::function<void(const log_page&, monotonic_time)> take)
{
    const auto sent = this->clock.now();
    this->log.read(this->stream, from, limit,
                   [this, sent, done, take = std::move(take),
                    watch = std::weak_ptr{this->alive}](const result<log_page>& page) {
                       if (watch.expired()) {
                           return;
                       }
                       if (!page) {
                           done(page.error());
                           return;
                       }
                       this->first = page.value().first_retained;
                       take(page.value(), sent);
                   });
}

void bundle_stream_reader::read_next(const done_handler& done)
{
    const auto from = this->fold.next_offset();
    this->read(from, records_a_read, done,
               [this, from, done](const log_page& page, monotonic_time sent) {
                   if (page.end < from) {
                       done(make_error(errc::mismatched, step, "platform log",
                                       "the stream has become shorter"));
                       return;
                   }
                   this->take_page(page, sent, done);
               });
}

void bundle_stream_reader::take_page(const log_page& page, monotonic_time sent,
                                     const done_handler& done)
{
    const auto next = this->fold.next_offset();
    if (page.first_retained > next) {
        this->search(page.end, first_search_window, done);
        return;
    }
    this->has_base = true;
    for (const auto& record : page.records) {
        if (record.offset < this->fold.next_offset()) {
            continue; // came from a peer meanwhile
        }
        if (record.offset > this->fold.next_offset()) {
            break;
        }
        const auto decision = this->fold.apply(record);
        if (this->decided) {
            this->decided(record, decision);
        }
        if (this->fold.unsupported()) {
            done(make_error(errc::stale, step, {}, decision.reason));
            return;
        }
    }
    if (this->fold.next_offset() >= page.end) {
        this->reached_end = std::max(this->reached_end, sent);
        done(boost::outcome_v2::success());
        return;
    }
    if (this->fold.next_offset() == next) {
        done(make_error(errc::mismatched, step, "platform log", "a page without the next record"));
        return;
    }
    this->read_next(done);
}

void bundle_stream_reader::search(log_offset upper, std::uint64_t window, const done_handler& done)
{
    if (upper <= this->first) {
        done(make_error(errc::not_found, step, "platform log",
                        "no checkpoint that a node can start from is left in the stream"));
        return;
    }
    // The newest checkpoints stand near the end, and the retained stream may be long.
    const auto span = std::min(window, upper.value() - this->first.value());
    const auto lower = upper - log_offset{span};
    this->collect(lower, lower, upper, window, std::make_shared<std::vector<bundle_checkpoint>>(),
                  done);
}

void bundle_stream_reader::collect(log_offset from, log_offset lower, log_offset upper,
                                   std::uint64_t window,
                                   const std::shared_ptr<std::vector<bundle_checkpoint>>& found,
                                   const done_handler& done)
{
    this->read(from, records_a_read, done, [=, this](const log_page& page, monotonic_time) {
        auto next = upper;
        for (const auto& record : page.records) {
            next = record.offset + log_offset{1};
            auto decoded = decode_record(record.payload);
            auto* seen = decoded ? std::get_if<bundle_checkpoint>(&decoded.value()) : nullptr;
            if (seen != nullptr && seen->next_offset <= record.offset) {
                found->push_back(std::move(*seen));
            }
        }
        if (next < upper) {
            this->collect(next, lower, upper, window, found, done);
            return;
        }
        if (this->adopt_best(*found)) {
            this->read_next(done);
            return;
        }
        this->search(lower, window * 2, done);
    });
}

bool bundle_stream_reader::adopt_best(std::vector<bundle_checkpoint>& found)
{
    // From a checkpoint before the first record left, records would be missed: one of them may
    // have been accepted, and a later one, rejected by all others, would win here.
    std::erase_if(found, [&](const auto& seen) { return seen.next_offset < this->first; });
    std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
        const auto version = [](const bundle_checkpoint& seen) {
            const auto header = seen.in_force ? decode_bundle_header(seen.in_force->header.text)
                                              : result<bundle_header>{bundle_header{}};
            return header ? header.value().version : bundle_version{};
        };
        return std::pair{version(left), left.next_offset} >
               std::pair{version(right), right.next_offset};
    });
    for (const auto& checkpoint : found) {
        if (this->fold.adopt(checkpoint)) {
            this->has_base = true;
            if (this->adopted) {
                this->adopted();
            }
            return true;
        }
    }
    return false;
}

} // namespace eelgrassbend
