#include "eelgrassbend/control/bundle_commands.h"

#include "eelgrassbend/control/operator_files.h"

#include <utility>

namespace eelgrassbend {

command_result generate_key(const std::string& file)
{
    const auto key = generate_signing_key();
    if (!key) {
        return failed_command(key.error());
    }
    const auto saved = save_key(file, key.value());
    if (!saved) {
        return failed_command(saved.error());
    }
    return {exit_status::ok,
            {{"file", file}, {"public_key", key.value().public_key}},
            "public key " + key.value().public_key + "\nkey file " + file + " (keep it secret)\n"};
}

command_result check_bundle(const std::string& file)
{
    const auto contents = load_bundle(file);
    if (!contents) {
        return failed_command(contents.error());
    }
    const auto& checked = contents.value();
    const bool publishable = !checked.operators.empty();
    command_result outcome;
    outcome.data = {
        {"version", checked.version.value()},    {"replaces", checked.replaces.value()},
        {"services", checked.services.size()},   {"organisations", checked.organisations.size()},
        {"operators", checked.operators.size()}, {"publishable", publishable}};
    outcome.text = file + ": version " + std::to_string(checked.version.value()) + ", replaces " +
                   std::to_string(checked.replaces.value()) + ", " +
                   std::to_string(checked.services.size()) + " services, " +
                   std::to_string(checked.organisations.size()) + " organisations\n";
    if (!publishable) {
        outcome.text += "it names no operators, so that it cannot be published\n";
    }
    return outcome;
}

static result<signed_bundle> load_to_sign(const std::string& file)
{
    auto sealed = load_signed_bundle(file);
    if (sealed) {
        return sealed;
    }
    const auto contents = load_bundle(file);
    if (!contents) {
        return contents.error();
    }
    if (contents.value().operators.empty()) {
        return make_error(errc::invalid_argument, "sign bundle", file, "it names no operators");
    }
    return make_signed_bundle(contents.value());
}

command_result sign_bundle(const std::string& file, const std::string& key_file,
                           const std::string& output)
{
    auto sealed = load_to_sign(file);
    if (!sealed) {
        return failed_command(sealed.error());
    }
    const auto key = load_key(key_file);
    if (!key) {
        return failed_command(key.error());
    }
    const auto added = add_signature(sealed.value(), key.value());
    if (!added) {
        return failed_command(added.error());
    }
    const auto saved = save_signed_bundle(output, sealed.value());
    if (!saved) {
        return failed_command(saved.error());
    }
    const auto count = sealed.value().header.signatures.size();
    const auto id = bundle_record_id(sealed.value()).value();
    return {exit_status::ok,
            {{"file", output}, {"signatures", count}, {"record", id}},
            output + ": " + std::to_string(count) + " signatures, record " + id + "\n"};
}

command_result describe_publication(const publication_result& outcome)
{
    command_result described;
    described.data = {{"status", to_string(outcome.status)},
                      {"reason", outcome.reason},
                      {"record", outcome.record.value()}};
    if (outcome.offset) {
        described.data["offset"] = outcome.offset->value();
    }
    described.text = std::string{to_string(outcome.status)};
    if (!outcome.reason.empty()) {
        described.text += ": " + outcome.reason;
    }
    described.text += "\n";
    if (outcome.in_force) {
        described.data["in_force"] = outcome.in_force->value();
        described.text += "version " + std::to_string(outcome.in_force->value()) + " is in force\n";
    }
    switch (outcome.status) {
    case publication_status::accepted:
        described.status = exit_status::ok;
        break;
    case publication_status::rejected:
        described.status = exit_status::negative;
        break;
    case publication_status::not_appended:
    case publication_status::unknown:
        described.status = exit_status::unavailable;
        break;
    }
    return described;
}

bundle_restorer::bundle_restorer(operator_set trusted, const clock_source& clock, log_client& log)
    : log(log), fold(std::move(trusted)), reader(clock, log, stream_name{bundle_stream}, this->fold)
{
}

void bundle_restorer::restore(const signed_bundle& contents, command_handler handler)
{
    this->sealed = contents;
    this->done = std::move(handler);
    this->reader.catch_up([this](const result<void>& outcome) {
        if (outcome) {
            const auto version = std::to_string(this->fold.current()->version.value());
            this->done(
                {exit_status::negative,
                 {{"status", "refused"}, {"in_force", this->fold.current()->version.value()}},
                 "refused: the stream still says that version " + version + " is in force\n"});
            return;
        }
        if (outcome.error().code != errc::not_found) {
            this->done(failed_command(outcome.error()));
            return;
        }
        this->log.read(stream_name{bundle_stream}, this->reader.first_retained(), 1,
                       [this](const result<log_page>& page) {
                           if (!page) {
                               this->done(failed_command(page.error()));
                               return;
                           }
                           this->append(page.value().end);
                       });
    });
}

void bundle_restorer::append(log_offset end)
{
    bundle_checkpoint checkpoint;
    checkpoint.next_offset = end;
    checkpoint.in_force = this->sealed;
    checkpoint.accepted = bundle_record_id(this->sealed);
    // The check that every node will make.
    bundle_fold trial{this->fold.signers()};
    if (const auto adopted = trial.adopt(checkpoint); !adopted) {
        this->done(failed_command(adopted.error()));
        return;
    }
    const record_id id{"restore-" + std::to_string(end.value()) + "-" +
                       checkpoint.accepted.value()};
    this->log.append(stream_name{bundle_stream}, {{id, encode_record(checkpoint)}},
                     [this](const auto& outcome) {
                         if (outcome) {
                             this->confirm();
                             return;
                         }
                         this->done(failed_command(outcome.error()));
                     });
}

void bundle_restorer::confirm()
{
    this->reader.catch_up([this](const result<void>& outcome) {
        if (!outcome) {
            this->done(failed_command(outcome.error()));
            return;
        }
        const auto version = this->fold.current()->version.value();
        this->done({exit_status::ok,
                    {{"status", "restored"}, {"in_force", version}},
                    "restored: version " + std::to_string(version) + " is in force\n"});
    });
}

} // namespace eelgrassbend
