#ifndef EELGRASSBEND_UNITTESTS_FAKES_BUNDLE_VIEW_H
#define EELGRASSBEND_UNITTESTS_FAKES_BUNDLE_VIEW_H

#include "eelgrassbend/bundle/bundle.h"

#include <memory>
#include <utility>

namespace eelgrassbend::fakes {

/// A bundle that is in force because the test says so.
class fixed_bundle : public bundle_view {
public:
    explicit fixed_bundle(bundle content) { this->set(std::move(content)); }

    void set(bundle content) { this->held = std::make_shared<const bundle>(std::move(content)); }

    [[nodiscard]] std::shared_ptr<const bundle> current() const override { return this->held; }

    [[nodiscard]] bool fresh() const override { return true; }

private:
    std::shared_ptr<const bundle> held;
};

} // namespace eelgrassbend::fakes

#endif
