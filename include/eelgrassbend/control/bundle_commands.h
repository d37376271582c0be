#ifndef EELGRASSBEND_CONTROL_BUNDLE_COMMANDS_H
#define EELGRASSBEND_CONTROL_BUNDLE_COMMANDS_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/bundle/bundle_stream_reader.h"
#include "eelgrassbend/bundle/publisher.h"
#include "eelgrassbend/control/command.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/scheduler.h"

#include <string>
#include <vector>

namespace eelgrassbend {

command_result generate_key(const std::string& file);
command_result check_bundle(const std::string& file);
/// Signs a bundle file, or adds a signature to a signed bundle, and writes the signed bundle.
command_result sign_bundle(const std::string& file, const std::string& key_file,
                           const std::string& output);

/// One value that differs between two bundles.
struct bundle_change {
    std::string path;      ///< such as "services[draft-llm].hedge_budget"
    nlohmann::json before; ///< null if it is new
    nlohmann::json after;  ///< null if it is gone
};

/// Compares two bundles; services, organisations and so on are matched by their ids.
std::vector<bundle_change> compare_bundles(const bundle& before, const bundle& after);
command_result diff_bundles(const std::string& before, const std::string& after);

/// What a publication ended with, for an operator.
command_result describe_publication(const publication_result& outcome);

/// Appends the last signed bundle as a checkpoint once the stream has lost what was in force.
/// It refuses while the stream still tells.
class bundle_restorer {
public:
    /// All references must outlive the restorer.
    bundle_restorer(operator_set trusted, const clock_source& clock, log_client& log);

    void restore(const signed_bundle& sealed, command_handler done);

private:
    void append(log_offset end);
    void confirm();

    log_client& log;
    bundle_fold fold;
    bundle_stream_reader reader;
    signed_bundle sealed;
    command_handler done;
};

} // namespace eelgrassbend

#endif
