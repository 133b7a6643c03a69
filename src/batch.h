// A batch: many generations that a trainer submits at once, and their results at
// fixed positions.
//
// These are the words that all parts share. A batch has one owner, an instance that
// runs its items; the store holds its head, its submission and pages of results.
#pragma once

#include "kv.h"
#include "site.h"
#include "types.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerail {

using batch_id = name_id<struct batch_tag>;
using item_id = name_id<struct item_tag>;

// A part of a prompt that requests may share; parts are in order.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

// A call that scores a finished text; its answer's proof is the score.
struct judge_call {
    request_id id;
    std::string host;
    std::string path;
    std::string body;
};

struct batch_item {
    item_id id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string group;
    std::optional<judge_call> judge;
    std::vector<prompt_part> prompt;
    token_count promptTokens;
    token_count expectedTokens; // to generate: the caller's guess, else the most allowed
};

struct batch_spec {
    batch_id id;
    std::string host;
    std::string path; // of the submission; with the host it names the route
    client_account_id account;
    std::uint64_t step = 0;
    model_id model;
    weight_version leastVersion; // the oldest that may generate a token
    std::uint32_t wantedGroups = 0; // the trainer ends the batch once it has read so many
    wall_time submitted {};
    std::vector<batch_item> items;
};

struct batch_result {
    item_id item;
    bool completed = false; // else abandoned
    std::string text;
    std::vector<weight_version> versions; // that made it, in order of first use
    std::string score;
};

// Who runs a batch and whether it was ended; rewritten at each change of either, so
// that its revision in the store fences writers of results.
struct batch_head {
    batch_id id;
    instance_id owner;
    incarnation ownerLife;
    std::string host;
    std::string path;
    client_account_id account;
    wall_time submitted {};
    std::uint32_t items = 0; // how many it has
    bool ended = false;
};

// Keys in the store. Pages of results are numbered from 0 without gaps.
std::string headKey(const batch_id& id);
std::string submissionKey(const batch_id& id);
std::string pagesPrefix(const batch_id& id);
std::string pageKey(const batch_id& id, std::uint32_t page);
// Texts of items without a result yet, as far as they were when it was written; lies
// behind the pages, so that one listing finds all that a new owner needs.
std::string textsKey(const batch_id& id);
constexpr std::string_view headPrefix = "batch/head/";

std::string encodeHead(const batch_head& head);
std::optional<batch_head> decodeHead(const batch_id& id, std::string_view text);
// Whether an entry found in the way of our create-only write is that very write, made
// by an earlier try whose answer was lost. A head that was rewritten since is not: it
// went through other hands, and results may stand behind it.
bool isOwnCreation(const kv_entry& entry, const batch_head& ours);
std::string encodeBatchPage(const std::vector<batch_result>& results);
std::optional<std::vector<batch_result>> decodeBatchPage(std::string_view text);

} // namespace lovagerail
