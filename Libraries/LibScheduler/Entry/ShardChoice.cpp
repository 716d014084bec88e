#include <LibScheduler/Entry/ShardChoice.h>

namespace Sassafrasshift::Scheduler {

std::string_view toText(ShardChoice::Reason reason)
{
    switch (reason) {
    case ShardChoice::Reason::OwnShard:
        return "own-shard";
    case ShardChoice::Reason::JobName:
        return "job-name";
    case ShardChoice::Reason::OwnShardNotFresh:
        return "own-shard-not-fresh";
    case ShardChoice::Reason::OwnShardRefused:
        return "own-shard-refused";
    case ShardChoice::Reason::OwnShardUnknown:
        return "own-shard-unknown";
    case ShardChoice::Reason::OwnShardWithoutTargets:
        return "own-shard-without-targets";
    case ShardChoice::Reason::LastToAnswer:
        return "last-to-answer";
    case ShardChoice::Reason::FormerShard:
        return "former-shard";
    case ShardChoice::Reason::Home:
        return "home";
    }
    return "unknown";
}

}
