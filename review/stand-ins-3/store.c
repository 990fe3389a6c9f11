/* The key-value store's stand-in: PROTOCOL, "Controller nodes -> state service". */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "stage.h"

#define KEYS_MAX 4000
#define LOG_MAX 10000
#define LEASES_MAX 400
#define WATCHES_MAX 64

struct item {
    char key[200];
    json_t *value;
    uint64_t revision, lease;
};

struct change {
    char key[200];
    json_t *value; /* NULL: deleted */
    uint64_t revision;
};

struct lease {
    uint64_t id;
    double ttl_s, ends_at;
};

struct watch {
    struct rp_request *req;
    char prefix[200];
    uint64_t from;
    double until, answer_at; /* answer_at: 0 as long as nothing has changed */
};

static struct item items[KEYS_MAX]; /* in key order */
static size_t n_items;
static struct change changes[LOG_MAX];
static uint64_t n_changes;
static uint64_t revision = 100;
static struct lease leases[LEASES_MAX];
static size_t n_leases;
static uint64_t last_lease = 6;
static struct watch watches[WATCHES_MAX];
static size_t n_watches;
static unsigned long n_news; /* answers to watches that hold changes */

static void respond_json(struct rp_request *req, int status, json_t *body) {
    char *text = json_dumps(body, JSON_COMPACT);
    req->respond(req, status, text, 0);
    free(text);
    json_decref(body);
}

static json_t *count(uint64_t number) {
    return json_integer((json_int_t)number);
}

static size_t lower_bound(const char *key) {
    size_t low = 0;
    size_t high = n_items;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (strcmp(items[middle].key, key) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static struct item *find_item(const char *key) {
    size_t index = lower_bound(key);
    return index < n_items && strcmp(items[index].key, key) == 0 ? &items[index] : NULL;
}

const json_t *store_value(const char *key) {
    const struct item *item = find_item(key);
    return item ? item->value : NULL;
}

uint64_t store_revision(void) {
    return revision;
}

static void log_change(const char *key, json_t *value) {
    struct change *change = &changes[n_changes++ % LOG_MAX];
    json_decref(change->value);
    snprintf(change->key, sizeof change->key, "%s", key);
    change->value = json_incref(value);
    change->revision = revision;
}

static void put(const char *key, json_t *value, uint64_t lease) {
    struct item *item = find_item(key);
    if (!item) {
        size_t index = lower_bound(key);
        if (n_items == KEYS_MAX)
            abort();
        memmove(&items[index + 1], &items[index], (n_items - index) * sizeof items[0]);
        n_items++;
        item = &items[index];
        memset(item, 0, sizeof *item);
        snprintf(item->key, sizeof item->key, "%s", key);
    }
    json_decref(item->value);
    item->value = json_incref(value);
    item->revision = revision;
    item->lease = lease;
    log_change(key, value);
}

static void delete_key(const char *key) {
    struct item *item = find_item(key);
    if (!item)
        return;
    json_decref(item->value);
    size_t index = (size_t)(item - items);
    memmove(item, item + 1, (n_items - index - 1) * sizeof items[0]);
    n_items--;
    log_change(key, NULL);
}

static bool has_prefix(const char *text, const char *prefix) {
    return strncmp(text, prefix, strlen(prefix)) == 0;
}

/* ---- watches ---- */

static bool has_news(const struct watch *watch) {
    uint64_t first = n_changes > LOG_MAX ? n_changes - LOG_MAX : 0;
    for (uint64_t i = n_changes; i-- > first;) {
        const struct change *change = &changes[i % LOG_MAX];
        if (change->revision <= watch->from)
            return false;
        if (has_prefix(change->key, watch->prefix))
            return true;
    }
    return false;
}

static void answer_watch(const struct watch *watch) {
    json_t *log = json_array();
    uint64_t first = n_changes > LOG_MAX ? n_changes - LOG_MAX : 0;
    for (uint64_t i = first; i < n_changes; i++) {
        const struct change *change = &changes[i % LOG_MAX];
        if (change->revision <= watch->from || !has_prefix(change->key, watch->prefix))
            continue;
        json_t *event = change->value ? json_pack("{s:s,s:O,s:o}", "write", change->key, "v",
                                                  change->value, "key_rev", count(change->revision))
                                      : json_pack("{s:s,s:o}", "delete", change->key, "key_rev",
                                                  count(change->revision));
        if (stage.lists_newest_first)
            json_array_insert_new(log, 0, event);
        else
            json_array_append_new(log, event);
    }
    respond_json(watch->req, 200,
                 json_pack("{s:o,s:o}", "ledger_rev", count(revision), "log", log));
}

static void serve_watches(void) {
    double t = now_s();
    for (size_t i = 0; i < n_watches;) {
        struct watch *watch = &watches[i];
        if (watch->answer_at == 0 && has_news(watch))
            watch->answer_at = t + (++n_news % 3 == 0 ? stage.watch_delay_s : 0);
        bool is_due = (watch->answer_at > 0 && t >= watch->answer_at) || t >= watch->until;
        if (!is_due) {
            i++;
            continue;
        }
        struct watch due = *watch;
        watches[i] = watches[--n_watches];
        answer_watch(&due);
    }
}

/* ---- leases ---- */

static struct lease *find_lease(uint64_t id) {
    for (size_t i = 0; i < n_leases; i++)
        if (leases[i].id == id)
            return &leases[i];
    return NULL;
}

static void end_lease(struct lease *lease) {
    uint64_t id = lease->id;
    *lease = leases[--n_leases];
    for (size_t i = 0; i < n_items;) {
        if (items[i].lease != id) {
            i++;
            continue;
        }
        char key[200];
        snprintf(key, sizeof key, "%s", items[i].key);
        revision++;
        delete_key(key);
    }
}

void store_step(void) {
    for (size_t i = 0; i < n_leases;)
        if (now_s() >= leases[i].ends_at)
            end_lease(&leases[i]);
        else
            i++;
    serve_watches();
}

/* ---- requests ---- */

static void read_parameter(const char *target, const char *name, char *out, size_t size) {
    char pattern[32];
    snprintf(pattern, sizeof pattern, "%s=", name);
    *out = '\0';
    for (const char *at = strchr(target, '?'); at; at = strchr(at + 1, '&'))
        if (has_prefix(at + 1, pattern)) {
            const char *value = at + 1 + strlen(pattern);
            snprintf(out, size, "%.*s", (int)strcspn(value, "&"), value);
        }
}

static void on_list(struct rp_request *req) {
    char prefix[200];
    char from[200];
    char limit_text[32];
    read_parameter(req->target, "prefix", prefix, sizeof prefix);
    read_parameter(req->target, "from", from, sizeof from);
    read_parameter(req->target, "limit", limit_text, sizeof limit_text);
    size_t limit = *limit_text ? strtoul(limit_text, NULL, 10) : 1000;
    json_t *rows = json_array();
    bool has_next = false;
    for (size_t i = 0; i < n_items; i++) {
        if (!has_prefix(items[i].key, prefix) || strcmp(items[i].key, from) <= 0)
            continue;
        if (json_array_size(rows) == limit) {
            has_next = true;
            break;
        }
        json_array_append_new(rows, json_pack("{s:s,s:O,s:o}", "path", items[i].key, "v",
                                              items[i].value, "key_rev", count(items[i].revision)));
    }
    respond_json(req, 200,
                 json_pack("{s:o,s:b,s:o}", "rows", rows, "has_next", has_next, "ledger_rev",
                           count(revision)));
}

static void on_get(struct rp_request *req, const char *key) {
    const struct item *item = find_item(key);
    if (!item) {
        respond_json(req, 404, json_pack("{s:o}", "ledger_rev", count(revision)));
        return;
    }
    json_t *body =
        json_pack("{s:s,s:O,s:o}", "path", key, "v", item->value, "key_rev", count(item->revision));
    if (item->lease)
        json_object_set_new(body, "lashing", count(item->lease));
    respond_json(req, 200, body);
}

static void on_txn(struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    json_t *failed = json_array();
    json_t *entry;
    size_t i;
    json_array_foreach(json_object_get(body, "then"), i, entry) {
        uint64_t lease = (uint64_t)json_integer_value(json_object_get(entry, "lashing"));
        if (lease && !find_lease(lease)) {
            json_decref(failed);
            json_decref(body);
            respond_json(req, 400, json_pack("{s:s}", "error", "no such lease"));
            return;
        }
    }
    json_array_foreach(json_object_get(body, "when"), i, entry) {
        const char *key = json_string_value(json_object_get(entry, "path"));
        const struct item *item = find_item(key);
        uint64_t wanted = (uint64_t)json_integer_value(json_object_get(entry, "key_rev"));
        if ((item ? item->revision : 0) != wanted)
            json_array_append_new(failed, json_string(key));
    }
    if (json_array_size(failed) > 0) {
        respond_json(req, 409,
                     json_pack("{s:o,s:o}", "failed", failed, "ledger_rev", count(revision)));
        json_decref(body);
        return;
    }
    json_decref(failed);
    if (json_array_size(json_object_get(body, "then")) > 0)
        revision++;
    json_array_foreach(json_object_get(body, "then"), i, entry) {
        const char *written = json_string_value(json_object_get(entry, "write"));
        const char *deleted = json_string_value(json_object_get(entry, "delete"));
        if (written)
            put(written, json_object_get(entry, "v"),
                (uint64_t)json_integer_value(json_object_get(entry, "lashing")));
        else if (deleted)
            delete_key(deleted);
    }
    json_decref(body);
    respond_json(req, 200, json_pack("{s:o}", "ledger_rev", count(revision)));
    serve_watches();
}

static void on_lease_request(struct rp_request *req) {
    const char *rest = req->target + strlen("/leases");
    if (!*rest) {
        json_t *body = json_loadb(req->body, req->len, 0, NULL);
        double ttl_s = json_number_value(json_object_get(body, "ttl_ms")) / 1000;
        json_decref(body);
        if (n_leases == LEASES_MAX)
            abort();
        leases[n_leases++] =
            (struct lease){.id = ++last_lease, .ttl_s = ttl_s, .ends_at = now_s() + ttl_s + 0.05};
        respond_json(req, 200, json_pack("{s:o}", "lashing", count(last_lease)));
        return;
    }
    struct lease *lease = find_lease(strtoull(rest + 1, NULL, 10));
    if (!lease) {
        respond_json(req, 404, json_object());
    } else if (strcmp(req->method, "DELETE") == 0) {
        end_lease(lease);
        respond_json(req, 200, json_object());
        serve_watches();
    } else {
        lease->ends_at = now_s() + lease->ttl_s + 0.05;
        respond_json(req, 200, json_object());
    }
}

static void on_follow(struct rp_request *req) {
    char text[32];
    if (n_watches == WATCHES_MAX)
        abort();
    struct watch *watch = &watches[n_watches++];
    *watch = (struct watch){.req = req};
    read_parameter(req->target, "prefix", watch->prefix, sizeof watch->prefix);
    read_parameter(req->target, "from", text, sizeof text);
    watch->from = strtoull(text, NULL, 10);
    read_parameter(req->target, "hold_ms", text, sizeof text);
    watch->until = now_s() + strtod(text, NULL) / 1000;
    serve_watches();
}

void store_request(void *arg, struct rp_request *req) {
    (void)arg;
    if (has_prefix(req->target, "/kv/"))
        on_get(req, req->target + strlen("/kv/"));
    else if (has_prefix(req->target, "/kv?"))
        on_list(req);
    else if (strcmp(req->target, "/txn") == 0)
        on_txn(req);
    else if (has_prefix(req->target, "/leases"))
        on_lease_request(req);
    else if (has_prefix(req->target, "/follow"))
        on_follow(req);
    else
        respond_json(req, 400, json_object());
}
