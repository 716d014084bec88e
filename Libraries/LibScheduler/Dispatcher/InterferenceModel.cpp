#include <LibScheduler/Dispatcher/InterferenceModel.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Scheduler {

// Run times that differ more from the estimate, or from the mean, count as this much: stalls and pauses must not outweigh all others.
static constexpr double maximumRatio { 4 };
// Jobs observed on a target before its means are used.
static constexpr double minimumMeanWeight { 2 };
// Keeps the regression solvable where a neighbour hardly occurs; in observations.
static constexpr double ridge { 0.1 };
static constexpr double maximumPenalty { 3 };
static constexpr double endingStandardErrors { 2 };

InterferenceModel::InterferenceModel(Options options)
    : options(options)
    , kinds(options.maximumKinds)
    , regressions(options.maximumKinds)
    , effects(options.maximumKinds * options.maximumKinds)
{
    for (size_t kind = 0; kind < options.maximumKinds; ++kind)
        this->forget(kind);
}

void InterferenceModel::forget(size_t kind)
{
    auto count = this->options.maximumKinds;
    this->numbers.erase(this->kinds[kind].name);
    this->kinds[kind] = {};
    this->regressions[kind] = Regression { std::vector<double>(count * count), std::vector<double>(count), 0, 0, std::vector<double>(count), std::vector<double>(count), {} };
    for (size_t other = 0; other < count; ++other) {
        auto& regression = this->regressions[other];
        if (regression.responses.empty())
            continue;
        for (size_t i = 0; i < count; ++i)
            regression.products[kind * count + i] = regression.products[i * count + kind] = 0;
        regression.responses[kind] = regression.with[kind] = regression.without[kind] = 0;
        for (auto position : { kind * count + other, other * count + kind }) {
            this->actingPairs -= this->effects[position].isActing ? 1 : 0;
            this->effects[position] = {};
        }
    }
}

std::optional<size_t> InterferenceModel::findKind(const std::string& queue) const
{
    auto position = this->numbers.find(queue);
    return position == this->numbers.end() ? std::nullopt : std::optional(position->second);
}

std::optional<size_t> InterferenceModel::takeKind(const std::string& queue, Instant now)
{
    auto number = this->findKind(queue);
    for (size_t i = 0; !number && i < this->kinds.size(); ++i) {
        const auto& kind = this->kinds[i];
        bool isForgotten = kind.openRuns == 0 && now - kind.usedAt >= this->options.forgetTime;
        if (!kind.name.empty() && !isForgotten)
            continue;
        this->forget(i);
        this->kinds[i].name = queue;
        this->kinds[i].generation = ++this->generations;
        this->numbers.emplace(queue, i);
        number = i;
    }
    if (number)
        this->kinds[*number].usedAt = now;
    return number;
}

double InterferenceModel::decay(Instant from, Instant to) const
{
    return std::exp2(-std::max(0.0, toMilliseconds(to - from)) / toMilliseconds(this->options.halfLife));
}

void InterferenceModel::integrate(TargetRuns::Presence& presence, Instant now)
{
    auto elapsed = toMilliseconds(now - presence.updatedAt);
    presence.oneMilliseconds += presence.running >= 1 ? elapsed : 0;
    presence.twoMilliseconds += presence.running >= 2 ? elapsed : 0;
    presence.updatedAt = now;
}

// A run of the same kind is a neighbour only while there are two of them.
double InterferenceModel::presentTime(const TargetRuns& target, size_t neighbour, size_t kind)
{
    const auto& presence = target.presences[neighbour];
    return neighbour == kind ? presence.twoMilliseconds : presence.oneMilliseconds;
}

void InterferenceModel::prepare(TargetRuns& target) const
{
    if (!target.presences.empty())
        return;
    target.presences.resize(this->options.maximumKinds);
    target.means.resize(this->options.maximumKinds);
}

void InterferenceModel::onStarted(TargetRuns& target, const RunId& id, const std::string& queue, bool isWhole, Instant now)
{
    if (target.runs.size() >= this->options.maximumRunsPerTarget || target.runs.contains(id))
        return;
    auto kind = this->takeKind(queue, now);
    if (!kind)
        return;
    this->prepare(target);
    for (auto& presence : target.presences)
        integrate(presence, now);
    ++target.presences[*kind].running;
    ++this->kinds[*kind].openRuns;
    TargetRuns::OpenRun run { *kind, isWhole, now, {} };
    for (size_t neighbour = 0; neighbour < target.presences.size(); ++neighbour)
        run.presentBefore.push_back(presentTime(target, neighbour, *kind));
    target.runs.emplace(id, std::move(run));
}

void InterferenceModel::onEnded(TargetRuns& target, const RunId& id, const std::optional<Sample>& sample, Instant now)
{
    auto position = target.runs.find(id);
    if (position == target.runs.end())
        return;
    auto run = std::move(position->second);
    target.runs.erase(position);
    for (auto& presence : target.presences)
        integrate(presence, now);
    --target.presences[run.kind].running;
    --this->kinds[run.kind].openRuns;
    this->kinds[run.kind].usedAt = now;
    auto elapsed = toMilliseconds(now - run.startedAt);
    if (!sample || !run.isWhole || elapsed <= 0 || sample->duration.count() <= 0 || sample->estimate.count() <= 0)
        return;
    std::vector<double> present;
    for (size_t neighbour = 0; neighbour < target.presences.size(); ++neighbour)
        present.push_back(std::clamp((presentTime(target, neighbour, run.kind) - run.presentBefore[neighbour]) / elapsed, 0.0, 1.0));
    auto logRatio = std::log(toMilliseconds(sample->duration) / toMilliseconds(sample->estimate));
    this->observe(target.means[run.kind], run.kind, present, logRatio, 1.0 / std::max(1U, sample->tasks), now);
}

void InterferenceModel::observe(TargetRuns::Means& means, size_t kind, const std::vector<double>& present, double logRatio, double weight, Instant now)
{
    if (means.generation != this->kinds[kind].generation)
        means = TargetRuns::Means { this->kinds[kind].generation, 0, 0, std::vector<double>(present.size()), now };
    means.weight *= this->decay(means.updatedAt, now);
    means.updatedAt = now;
    auto limit = std::log(maximumRatio);
    auto response = logRatio - means.logRatio;
    if (means.weight >= minimumMeanWeight) {
        response = std::clamp(response, -limit, limit);
        std::vector<double> deviation;
        for (size_t i = 0; i < present.size(); ++i)
            deviation.push_back(present[i] - means.present[i]);
        // The mean has an error of its own.
        this->addObservation(this->regressions[kind], present, deviation, response, weight * means.weight / (weight + means.weight), now);
    }
    means.weight += weight;
    means.logRatio += response * weight / means.weight;
    for (size_t i = 0; i < present.size(); ++i)
        means.present[i] += (present[i] - means.present[i]) * weight / means.weight;
}

void InterferenceModel::addObservation(Regression& regression, const std::vector<double>& present, const std::vector<double>& deviation, double response, double weight, Instant now) const
{
    auto count = present.size();
    auto factor = this->decay(regression.updatedAt, now);
    regression.updatedAt = now;
    regression.weight = regression.weight * factor + weight;
    regression.squares = regression.squares * factor + weight * response * response;
    for (size_t i = 0; i < count; ++i) {
        regression.with[i] = regression.with[i] * factor + weight * present[i];
        regression.without[i] = regression.without[i] * factor + weight * (1 - present[i]);
        regression.responses[i] = regression.responses[i] * factor + weight * deviation[i] * response;
        for (size_t j = 0; j < count; ++j)
            regression.products[i * count + j] = regression.products[i * count + j] * factor + weight * deviation[i] * deviation[j];
    }
}

// Inverts a symmetric positive definite matrix in place (Gauss-Jordan; such a matrix needs no pivoting).
static void invert(std::vector<double>& matrix, size_t count)
{
    for (size_t pivot = 0; pivot < count; ++pivot) {
        auto scale = 1 / matrix[pivot * count + pivot];
        matrix[pivot * count + pivot] = 1;
        for (size_t column = 0; column < count; ++column)
            matrix[pivot * count + column] *= scale;
        for (size_t row = 0; row < count; ++row) {
            if (row == pivot)
                continue;
            auto factor = matrix[row * count + pivot];
            matrix[row * count + pivot] = 0;
            for (size_t column = 0; column < count; ++column)
                matrix[row * count + column] -= factor * matrix[pivot * count + column];
        }
    }
}

std::vector<InterferenceModel::Change> InterferenceModel::evaluate(Instant now)
{
    std::vector<Change> changes;
    if (now < this->nextEvaluation)
        return changes;
    this->nextEvaluation = now + this->options.evaluationInterval;
    for (size_t kind = 0; kind < this->kinds.size(); ++kind) {
        if (!this->kinds[kind].name.empty())
            this->evaluate(kind, changes, now);
    }
    return changes;
}

// Returns the slopes and their standard errors for some of the neighbours. `decayFactor` is the part of the sums that
// has remained since the last observation.
std::vector<InterferenceModel::Slope> InterferenceModel::solve(const Regression& regression, const std::vector<size_t>& neighbours, double decayFactor) const
{
    auto count = neighbours.size();
    std::vector<double> inverse(count * count);
    for (size_t i = 0; i < count; ++i) {
        for (size_t j = 0; j < count; ++j)
            inverse[i * count + j] = regression.products[neighbours[i] * this->options.maximumKinds + neighbours[j]] * decayFactor;
        inverse[i * count + i] += ridge;
    }
    invert(inverse, count);
    std::vector<Slope> slopes(count);
    double explained = 0;
    for (size_t i = 0; i < count; ++i) {
        for (size_t j = 0; j < count; ++j)
            slopes[i].value += inverse[i * count + j] * regression.responses[neighbours[j]] * decayFactor;
        explained += slopes[i].value * regression.responses[neighbours[i]];
    }
    auto variance = std::max(0.0, regression.squares - explained) / std::max(1.0, regression.weight - static_cast<double>(count));
    for (size_t i = 0; i < count; ++i)
        slopes[i].error = std::sqrt(variance * inverse[i * count + i]);
    return slopes;
}

// No neighbour makes a run faster. Without that, the effects could not be told apart where each place of a target is always taken: the more
// time next to one kind, the less next to the others.
void InterferenceModel::evaluate(size_t kind, std::vector<Change>& changes, Instant now)
{
    const auto& regression = this->regressions[kind];
    auto decayFactor = this->decay(regression.updatedAt, now);
    std::vector<size_t> neighbours;
    for (const auto& [name, number] : this->numbers)
        neighbours.push_back(number);
    auto slopes = this->solve(regression, neighbours, decayFactor);
    auto isLess = [](const auto& left, const auto& right) { return left.value < right.value; };
    std::vector<Slope> slopeOf(this->kinds.size());
    while (!slopes.empty()) {
        auto lowest = std::min_element(slopes.begin(), slopes.end(), isLess);
        if (lowest->value >= 0)
            break;
        neighbours.erase(neighbours.begin() + (lowest - slopes.begin()));
        slopes = this->solve(regression, neighbours, decayFactor);
    }
    for (size_t i = 0; i < neighbours.size(); ++i)
        slopeOf[neighbours[i]] = slopes[i];
    for (size_t neighbour = 0; neighbour < slopeOf.size(); ++neighbour) {
        auto& effect = this->effects[kind * this->kinds.size() + neighbour];
        auto [slope, error] = slopeOf[neighbour];
        auto observed = std::min(regression.with[neighbour], regression.without[neighbour]) * decayFactor;
        effect.logRatio = slope;
        if (effect.isActing && (slope < std::log(this->options.negligibleEffect) || slope < endingStandardErrors * error))
            this->setActing(kind, neighbour, false, changes, now);
        else if (!effect.isActing && observed >= this->options.minimumJobs && slope >= std::log(this->options.minimumEffect) && slope >= this->options.standardErrors * error)
            this->setActing(kind, neighbour, true, changes, now);
    }
}

void InterferenceModel::setActing(size_t kind, size_t neighbour, bool isActing, std::vector<Change>& changes, Instant now)
{
    auto& effect = this->effects[kind * this->options.maximumKinds + neighbour];
    if (isActing) {
        effect.since = now;
        ++this->actingPairs;
    } else {
        --this->actingPairs;
    }
    effect.isActing = isActing;
    changes.push_back({ Pair { this->kinds[kind].name, this->kinds[neighbour].name, std::exp(effect.logRatio), effect.since }, isActing });
}

std::vector<InterferenceModel::Pair> InterferenceModel::pairs() const
{
    std::vector<Pair> pairs;
    for (size_t i = 0; i < this->effects.size(); ++i) {
        const auto& effect = this->effects[i];
        if (effect.isActing)
            pairs.push_back({ this->kinds[i / this->kinds.size()].name, this->kinds[i % this->kinds.size()].name, std::exp(effect.logRatio), effect.since });
    }
    return pairs;
}

double InterferenceModel::penalty(const TargetRuns& target, size_t kind) const
{
    double sum = 0;
    auto count = this->options.maximumKinds;
    for (size_t neighbour = 0; neighbour < target.presences.size(); ++neighbour) {
        if (target.presences[neighbour].running == 0)
            continue;
        // The run is slowed down by its neighbours, and slows them down.
        for (const auto& effect : { this->effects[kind * count + neighbour], this->effects[neighbour * count + kind] })
            sum += effect.isActing ? effect.logRatio : 0;
    }
    return std::clamp(std::exp(sum), 1.0, maximumPenalty);
}

}
