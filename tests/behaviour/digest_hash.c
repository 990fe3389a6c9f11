#include "digest_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WALL_CLOCK_START_S 1700000000 /* wall clock at virtual time 0, in seconds since 1970 */

/* State of the current run. */
static struct {
    const struct sim *sim; /* NULL until digest_set_simulation */
    XXH3_state_t *messages;
    unsigned long n_messages;
    bool dump;
} current;

/* Replaces the C library's function by the wall clock of the simulation, since records contain
 * wall-clock times. The simulated nodes read no other clock. */
int clock_gettime(clockid_t clock, struct timespec *out) {
    double now = current.sim ? current.sim->now : 0;
    (void)clock;
    out->tv_sec = WALL_CLOCK_START_S + (time_t)now;
    out->tv_nsec = (long)((now - (double)(time_t)now) * 1e9);
    return 0;
}

/* Prints a body on one line, with control characters escaped. */
static void print_body(const char *body) {
    for (const unsigned char *byte = (const unsigned char *)body; *byte; byte++)
        if (*byte < ' ')
            printf("\\x%02x", *byte);
        else
            putchar(*byte);
    putchar('\n');
}

void digest_add_message(const struct sim_message *message) {
    char head[1024];
    int length = snprintf(head, sizeof head, "%.6f n%d %s %s %s %d %d %zu ", message->time,
                          message->from, message->to, *message->method ? message->method : "-",
                          *message->target ? message->target : "-", message->status,
                          message->retry_after, strlen(message->body));
    if (length < 0 || (size_t)length >= sizeof head)
        abort(); /* a truncated message would be hashed */
    XXH3_128bits_update(current.messages, head, (size_t)length);
    XXH3_128bits_update(current.messages, message->body, strlen(message->body));
    current.n_messages++;
    if (current.dump) {
        fputs(head, stdout);
        print_body(message->body);
    }
}

static int compare_keys(const void *a, const void *b) {
    const struct sim_key *first = a;
    const struct sim_key *second = b;
    return strcmp(first->key, second->key);
}

static void hash_record(XXH3_state_t *state, const struct sim_key *key) {
    char *value = json_dumps(key->value, JSON_COMPACT | JSON_ENCODE_ANY);
    char revision[64];
    if (!value)
        abort();
    snprintf(revision, sizeof revision, " %llu %llu ", (unsigned long long)key->revision,
             (unsigned long long)key->lease);
    XXH3_128bits_update(state, key->key, strlen(key->key));
    XXH3_128bits_update(state, revision, strlen(revision));
    XXH3_128bits_update(state, value, strlen(value) + 1);
    if (current.dump) {
        printf("store %s%s", key->key, revision);
        print_body(value);
    }
    free(value);
}

/* Hashes the key-value store's records, in the order of their keys. */
static XXH128_hash_t hash_store(struct sim *sim) {
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    qsort(sim->keys, (size_t)sim->n_keys, sizeof sim->keys[0], compare_keys);
    for (int i = 0; i < sim->n_keys; i++)
        hash_record(state, &sim->keys[i]);
    XXH128_hash_t hash = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    return hash;
}

static void write_hash(XXH128_hash_t hash, char out[DIGEST_HASH_TEXT]) {
    snprintf(out, DIGEST_HASH_TEXT, "%016llx%016llx", (unsigned long long)hash.high64,
             (unsigned long long)hash.low64);
}

void digest_begin(bool dump) {
    current.messages = XXH3_createState();
    XXH3_128bits_reset(current.messages);
    current.n_messages = 0;
    current.dump = dump;
    sim_observer = digest_add_message;
}

void digest_set_simulation(const struct sim *sim) {
    current.sim = sim;
}

struct digest digest_end(struct sim *sim) {
    struct digest digest = {.n_messages = current.n_messages};
    write_hash(XXH3_128bits_digest(current.messages), digest.messages);
    write_hash(hash_store(sim), digest.store);
    sim_observer = NULL;
    current.sim = NULL;
    XXH3_freeState(current.messages);
    current.messages = NULL;
    return digest;
}
