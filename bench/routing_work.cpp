#include "routing_work.h"

#include "eelgrassbend/support/random_source.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace eelgrassbend::bench {

namespace {

constexpr std::size_t templates_per_organisation = 3;
constexpr std::size_t open_conversations = 240;
constexpr std::size_t longest_conversation = 6; // turns
constexpr std::int64_t longest_history = 5000;  // tokens
constexpr double continued_share = 0.6;
constexpr std::int64_t shortest_template = 400; // tokens
constexpr std::uint64_t template_spread = 1100; // tokens
constexpr double longest_answer = 2000.0;       // tokens

/// Median answer and new prompt text of a class in tokens, and the spread of their logarithms.
struct class_sizes {
    double answer = 0.0;
    double answer_spread = 0.0;
    double prompt = 0.0;
    double prompt_spread = 0.0;
};

constexpr class_sizes quick_sizes{24.0, 0.5, 60.0, 0.6};
constexpr class_sizes normal_sizes{120.0, 0.7, 200.0, 0.9};
constexpr class_sizes long_sizes{800.0, 0.6, 900.0, 0.8};

struct conversation {
    std::size_t organisation = 0;
    block_chain history;
    std::size_t turns = 0;
};

class work_generator {
public:
    work_generator(const routing_fleet& deployment, std::uint64_t seed)
        : deployment(deployment), random(seed)
    {
        for (std::size_t each = 0; each < deployment.organisation_weights.size(); ++each) {
            for (std::size_t number = 0; number < templates_per_organisation; ++number) {
                block_chain shared;
                const auto length =
                    shortest_template +
                    static_cast<std::int64_t>(random_below(this->random, template_spread));
                this->append(shared, length);
                this->templates.push_back(std::move(shared));
            }
        }
    }

    work_item next()
    {
        auto& talk = this->pick_conversation();
        work_item item;
        item.request.size = this->pick_class();
        const auto& sizes = sizes_of(item.request.size);
        this->append(talk.history, this->heavy_tailed(sizes.prompt, sizes.prompt_spread));
        item.prompt.seed = this->random();
        item.prompt.tokens = talk.history;
        item.answer = token_count{this->heavy_tailed(sizes.answer, sizes.answer_spread)};
        item.node = static_cast<std::uint32_t>(random_below(this->random, 1U << 16U));
        std::exponential_distribution<double> gap(1.0);
        this->clock += gap(this->random);
        item.arrival = this->clock;
        this->describe(item, talk, sizes);
        this->append_answer(talk.history, item);
        ++talk.turns;
        return item;
    }

private:
    static const class_sizes& sizes_of(request_class size)
    {
        switch (size) {
        case request_class::quick:
            return quick_sizes;
        case request_class::normal:
            return normal_sizes;
        case request_class::long_running:
            break;
        }
        return long_sizes;
    }

    void describe(work_item& item, const conversation& talk, const class_sizes& sizes)
    {
        item.request.request = request_id{"r" + std::to_string(this->count++)};
        item.request.organisation = organisation_id{"org-" + std::to_string(talk.organisation)};
        item.request.service = this->deployment.declared.services.front().id;
        item.request.priority = 2 - static_cast<std::int32_t>(item.request.size);
        item.request.prompt_tokens = token_count{item.prompt.tokens.tokens()};
        item.request.expected_output = token_count{static_cast<std::int64_t>(sizes.answer)};
        item.request.prefix = item.prompt.tokens.blocks();
    }

    conversation& pick_conversation()
    {
        const bool open = this->conversations.size() == open_conversations;
        const bool continues = open && random_unit(this->random) < continued_share;
        if (!open) {
            this->conversations.emplace_back();
        }
        auto& talk = open ? this->conversations[random_below(this->random, open_conversations)]
                          : this->conversations.back();
        const bool finished =
            talk.turns >= longest_conversation || talk.history.tokens() > longest_history;
        if (!continues || finished) {
            std::discrete_distribution<std::size_t> weights(
                this->deployment.organisation_weights.begin(),
                this->deployment.organisation_weights.end());
            talk.organisation = weights(this->random);
            const auto number = random_below(this->random, templates_per_organisation);
            talk.history = this->templates[talk.organisation * templates_per_organisation + number];
            talk.turns = 0;
        }
        return talk;
    }

    request_class pick_class()
    {
        const double draw = random_unit(this->random);
        if (draw < this->deployment.quick_share) {
            return request_class::quick;
        }
        const bool is_long = draw > 1.0 - this->deployment.long_share;
        return is_long ? request_class::long_running : request_class::normal;
    }

    std::int64_t heavy_tailed(double median, double spread)
    {
        std::lognormal_distribution<double> sizes(std::log(median), spread);
        return static_cast<std::int64_t>(std::clamp(sizes(this->random), 4.0, longest_answer));
    }

    void append(block_chain& chain, std::int64_t tokens)
    {
        for (std::int64_t token = 0; token < tokens; ++token) {
            chain.append(std::to_string(this->random() % 100'000));
        }
    }

    // What an engine has cached after an answer covers the answer too.
    static void append_answer(block_chain& chain, const work_item& item)
    {
        for (std::int64_t index = 0; index < item.answer.value(); ++index) {
            const auto token = answer_token(item.prompt.seed, index);
            chain.append(std::string_view{token}.substr(token.find_first_not_of(' ')));
        }
    }

    const routing_fleet& deployment;
    seeded_random random;
    std::vector<block_chain> templates;
    std::vector<conversation> conversations;
    double clock = 0.0;
    std::size_t count = 0;
};

} // namespace

std::vector<work_item> make_work(const routing_fleet& deployment, std::size_t count,
                                 std::uint64_t seed)
{
    work_generator generator(deployment, seed);
    std::vector<work_item> work;
    work.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        work.push_back(generator.next());
    }
    return work;
}

double fleet_capacity(const routing_fleet& deployment, const std::vector<work_item>& work)
{
    const double mean_template =
        static_cast<double>(shortest_template) + static_cast<double>(template_spread) / 2.0;
    double prompt = 0.0;
    double answer = 0.0;
    for (const auto& item : work) {
        const auto tokens = static_cast<double>(item.prompt.tokens.tokens());
        prompt += std::max(0.0, tokens - mean_template) / static_cast<double>(work.size());
        answer += static_cast<double>(item.answer.value()) / static_cast<double>(work.size());
    }
    double rate = 0.0;
    for (const auto& engine : deployment.engines) {
        const auto& settings = engine.settings;
        const auto step =
            std::chrono::duration<double>{settings.step_base}.count() / settings.slots +
            std::chrono::duration<double>{settings.step_per_stream}.count();
        rate += 1.0 / (answer * step + prompt / settings.prefill_tokens_per_second);
    }
    return rate;
}

} // namespace eelgrassbend::bench
