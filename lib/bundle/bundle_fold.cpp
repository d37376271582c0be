#include "eelgrassbend/bundle/bundle_fold.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace eelgrassbend {

/// Ids of decided records that are remembered, so that a repeat is not reported once more.
static constexpr std::size_t max_decided = 1'024;
/// The oldest is forgotten first, on every node alike.
static constexpr std::size_t max_early = 256;

std::string_view to_string(bundle_verdict verdict)
{
    switch (verdict) {
    case bundle_verdict::accepted:
        return "accepted";
    case bundle_verdict::malformed:
        return "malformed";
    case bundle_verdict::not_in_force:
        return "not_in_force";
    case bundle_verdict::version_not_higher:
        return "version_not_higher";
    case bundle_verdict::too_few_signatures:
        return "too_few_signatures";
    case bundle_verdict::repeated:
        return "repeated";
    case bundle_verdict::checkpoint:
        return "checkpoint";
    case bundle_verdict::unsupported:
        return "unsupported";
    }
    return "unknown";
}

bundle_fold::bundle_fold(operator_set trusted)
    : trusted(std::move(trusted)),
      operators_in_force(this->trusted),
      bundle_in_force(std::make_shared<bundle>())
{
}

bundle_checkpoint bundle_fold::checkpoint() const
{
    return this->state;
}

bundle_decision bundle_fold::apply(const log_record& record)
{
    assert(record.offset == this->state.next_offset && "records are folded in order of offset");
    if (this->halted) {
        return {record.offset,
                record.id,
                bundle_verdict::unsupported,
                {},
                this->bundle_in_force->version,
                "a version of an unknown schema is in force"};
    }
    this->state.next_offset = record.offset + log_offset{1};
    auto decision = this->decide(record);
    if (this->halted) {
        this->state.next_offset = record.offset; // the state does not reach past this record
    }
    decision.offset = record.offset;
    decision.id = record.id;
    decision.in_force = this->bundle_in_force->version;
    return decision;
}

static bundle_decision refuse(bundle_verdict verdict, bundle_version version, std::string reason)
{
    bundle_decision decision;
    decision.verdict = verdict;
    decision.version = version;
    decision.reason = std::move(reason);
    return decision;
}

bundle_decision bundle_fold::decide(const log_record& record)
{
    const auto& early = this->state.early;
    const bool known = this->decided.contains(record.id) || record.id == this->state.accepted ||
                       std::any_of(early.begin(), early.end(),
                                   [&](const auto& other) { return other.id == record.id; });
    if (known) {
        return refuse(bundle_verdict::repeated, {}, "this record id was decided before");
    }
    const auto decoded = decode_record(record.payload);
    if (!decoded) {
        this->remember(record.id);
        return refuse(bundle_verdict::malformed, {}, decoded.error().detail);
    }
    if (const auto* seen = std::get_if<bundle_checkpoint>(&decoded.value())) {
        this->observe_checkpoint(record, *seen);
        return refuse(bundle_verdict::checkpoint, {}, "changes nothing");
    }
    auto decision = this->decide_bundle(record, std::get<signed_bundle>(decoded.value()));
    const bool is_early = !early.empty() && early.back().id == record.id;
    if (!is_early) {
        this->remember(record.id);
    }
    return decision;
}

static std::string version_text(bundle_version version)
{
    return "version " + std::to_string(version.value());
}

bundle_decision bundle_fold::decide_bundle(const log_record& record, const signed_bundle& sealed)
{
    // Repeats are ignored by their id on a node that remembers it and decided again on one that
    // does not. Both come to the same only if an id stands for one payload.
    if (record.id != bundle_record_id(sealed)) {
        return refuse(bundle_verdict::malformed, {}, "the id does not belong to the record");
    }
    const auto header = decode_bundle_header(sealed.header.text);
    if (!header) {
        return refuse(bundle_verdict::malformed, {}, header.error().detail);
    }
    const auto version = header.value().version;
    const auto replaces = header.value().replaces;
    const auto in_force = this->bundle_in_force->version;
    if (replaces != in_force) {
        this->remember_early(record, replaces);
        return refuse(bundle_verdict::not_in_force, version,
                      "replaces " + version_text(replaces) + ", but " + version_text(in_force) +
                          " is in force");
    }
    if (version <= in_force) {
        return refuse(bundle_verdict::version_not_higher, version,
                      version_text(in_force) + " is in force");
    }
    const auto required = this->operators_in_force.required_signatures;
    const auto valid = count_signatures(sealed.header, this->operators_in_force);
    if (valid < required) {
        return refuse(bundle_verdict::too_few_signatures, version,
                      std::to_string(valid) + " valid signatures of operators, " +
                          std::to_string(required) + " required");
    }
    if (header.value().schema != bundle_schema) {
        this->halted = true;
        return refuse(bundle_verdict::unsupported, version,
                      "schema " + std::to_string(header.value().schema) + " is unknown");
    }
    auto contents = open_signed_bundle(sealed);
    if (!contents) {
        return refuse(bundle_verdict::malformed, version, contents.error().detail);
    }
    this->accept(record, sealed, std::move(contents.value()));
    return refuse(bundle_verdict::accepted, version, {});
}

static bool same_signers(const operator_set& left, const operator_set& right)
{
    const auto same_key = [](const auto& one, const auto& other) {
        return one.public_key == other.public_key;
    };
    return left.required_signatures == right.required_signatures &&
           std::equal(left.operators.begin(), left.operators.end(), right.operators.begin(),
                      right.operators.end(), same_key);
}

static operator_set signers_of(const bundle& contents)
{
    return {contents.operators, contents.required_signatures};
}

void bundle_fold::accept(const log_record& record, const signed_bundle& sealed, bundle contents)
{
    auto signers = signers_of(contents);
    // The lineage holds each version that a later signature depends on: the last one with the
    // operators that signed this bundle, if they are not those that signed that one already.
    if (!same_signers(signers, this->operators_in_force)) {
        this->state.lineage.push_back(sealed.header);
    }
    this->operators_in_force = std::move(signers);
    this->state.in_force = sealed;
    this->state.accepted = record.id;
    this->forget_early(contents.version);
    this->bundle_in_force = std::make_shared<const bundle>(std::move(contents));
}

void bundle_fold::forget_early(bundle_version in_force)
{
    for (const auto& other : this->state.early) {
        if (other.replaces < in_force) {
            this->remember(other.id);
        }
    }
    std::erase_if(this->state.early, [&](const auto& other) { return other.replaces < in_force; });
}

void bundle_fold::remember_early(const log_record& record, bundle_version replaces)
{
    // A record that replaces an older version can never win, so that its repeat may be decided
    // afresh. One that replaces a later version could: a node that starts from a checkpoint
    // between the two must know the first to refuse the second as well.
    if (replaces <= this->bundle_in_force->version) {
        return;
    }
    auto& early = this->state.early;
    if (early.size() >= max_early) {
        early.erase(early.begin());
    }
    early.push_back({record.id, replaces});
}

void bundle_fold::remember(const record_id& id)
{
    if (!this->decided.insert(id).second) {
        return;
    }
    this->decided_order.push_back(id);
    if (this->decided_order.size() > max_decided) {
        this->decided.erase(this->decided_order.front());
        this->decided_order.pop_front();
    }
}

void bundle_fold::observe_checkpoint(const log_record& record, const bundle_checkpoint& seen)
{
    const bool possible = seen.next_offset <= record.offset && seen.next_offset > this->restart;
    if (!possible) {
        return;
    }
    const auto verified = this->verify(seen);
    if (verified && verified.value().version == this->bundle_in_force->version) {
        this->restart = seen.next_offset;
    }
}

result<bundle_fold::verified_checkpoint>
bundle_fold::verify(const bundle_checkpoint& checkpoint) const
{
    auto signers = this->trusted;
    if (!checkpoint.in_force) {
        return verified_checkpoint{bundle_version{0}, std::move(signers)};
    }
    // Headers that do not follow are skipped: settings may trust operators of any later version.
    bundle_version last;
    std::string last_text;
    for (const auto& header : checkpoint.lineage) {
        const auto decoded = decode_bundle_header(header.text);
        const bool follows = decoded && decoded.value().version > last &&
                             count_signatures(header, signers) >= signers.required_signatures;
        if (follows) {
            last = decoded.value().version;
            last_text = header.text;
            signers = {decoded.value().operators, decoded.value().required_signatures};
        }
    }
    const auto& sealed = checkpoint.in_force->header;
    const auto header = decode_bundle_header(sealed.text);
    if (!header) {
        return header.error();
    }
    const bool signed_well = count_signatures(sealed, signers) >= signers.required_signatures;
    if (sealed.text != last_text && !signed_well) {
        return make_error(errc::unauthenticated, "verify checkpoint", {},
                          "its signatures do not lead back to the trusted operators");
    }
    return verified_checkpoint{header.value().version,
                               {header.value().operators, header.value().required_signatures}};
}

result<void> bundle_fold::adopt(const bundle_checkpoint& checkpoint, bool in_stream)
{
    auto verified = this->verify(checkpoint);
    if (!verified) {
        return verified.error();
    }
    auto contents = std::make_shared<bundle>();
    if (checkpoint.in_force) {
        auto opened = open_signed_bundle(*checkpoint.in_force);
        if (!opened) {
            return opened.error();
        }
        *contents = std::move(opened.value());
    }
    const bool reverts = contents->version < this->bundle_in_force->version ||
                         checkpoint.next_offset < this->state.next_offset;
    if (reverts) {
        return make_error(errc::stale, "adopt checkpoint", {},
                          "it is older than " + version_text(this->bundle_in_force->version) +
                              " in force here");
    }
    this->state = checkpoint;
    this->operators_in_force = std::move(verified.value().signers);
    this->bundle_in_force = std::move(contents);
    if (in_stream) {
        this->restart = std::max(this->restart, checkpoint.next_offset);
    }
    return boost::outcome_v2::success();
}

} // namespace eelgrassbend
