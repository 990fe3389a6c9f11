#include "cluster/image_index.h"

#include <stdlib.h>
#include <string.h>
#include "protocol/codec.h"

#define EVERY_S 8.0
#define ANSWER_S 1.5
#define IMAGES_TOLD                                                                                \
    65536              /* of all machines together, the latest used of each: some 2 MB of text     \
                        */
#define IMAGES_LEAST 4 /* but so many of each machine */

static void tick(void *arg);

void rp_image_index_init(struct rp_image_index *index, struct rp_loop *loop, struct rp_net net,
                         struct rp_election *election, struct rp_cluster *cluster,
                         const struct rp_settings *settings) {
    memset(index, 0, sizeof *index);
    index->loop = loop;
    index->net = net;
    index->election = election;
    index->cluster = cluster;
    index->settings = settings;
    index->timer = (struct rp_timer){.fn = tick, .arg = index};
}

void rp_image_index_start(struct rp_image_index *index) {
    rp_timer_set(index->loop, &index->timer, EVERY_S);
}

void rp_image_index_close(struct rp_image_index *index) {
    rp_timer_cancel(index->loop, &index->timer);
    json_decref(index->known);
    index->known = NULL;
}

static bool leads(const struct rp_image_index *index) {
    return index->election->state == RP_ELECTION_HOLDING_KEY;
}

static int by_use(const void *a, const void *b) {
    return rp_ts_cmp(((const struct rp_image *)a)->used, ((const struct rp_image *)b)->used);
}

static size_t images_told(const struct rp_cluster *cluster) {
    size_t each = IMAGES_TOLD / (cluster->n_machines + 1);
    return each > IMAGES_LEAST ? each : IMAGES_LEAST;
}

static json_t *images_of(struct rp_machine *machine, size_t most) {
    json_t *list = json_array();
    qsort(machine->images, machine->n_images, sizeof *machine->images, by_use);
    for (size_t i = machine->n_images > most ? machine->n_images - most : 0; i < machine->n_images;
         i++) {
        json_array_append_new(list, json_integer((json_int_t)machine->images[i].hash));
        json_array_append_new(list, json_real(machine->images[i].gb));
    }
    return list;
}

char *rp_image_index_json(const struct rp_image_index *index) {
    /* A leader that still reads its records knows no more than what it remembers. */
    bool own = leads(index) && index->cluster->n_machines > 0;
    json_t *images = own ? json_object() : json_incref(index->known);
    for (struct rp_machine *machine = own ? index->cluster->first : NULL; machine;
         machine = machine->next)
        if (machine->n_images > 0)
            json_object_set_new(images, machine->name,
                                images_of(machine, images_told(index->cluster)));
    json_t *value = json_pack("{s:o*}", "images", images);
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

/* What machines are said to hold, unless their own reports have told of it already. */
static void take(struct rp_image_index *index, json_t *images) {
    const char *name;
    json_t *list;
    json_object_foreach(images, name, list) {
        struct rp_machine *machine = rp_machine_find(index->cluster, name);
        for (size_t i = 0; machine && machine->type >= 0 && i + 1 < json_array_size(list); i += 2) {
            uint64_t hash = (uint64_t)json_integer_value(json_array_get(list, i));
            double gb = json_number_value(json_array_get(list, i + 1));
            if (!rp_machine_has_image(machine, hash))
                rp_machine_note_image(index->cluster, machine, hash, gb);
        }
    }
}

static void came(void *arg, const struct rp_answer *answer) {
    struct rp_image_index *index = arg;
    json_t *value = answer->status == 200 ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    json_t *images = json_object_get(value, "images");
    if (json_object_size(images) > 0) {
        if (leads(index))
            take(index, images);
        json_decref(index->known);
        index->known = json_incref(images);
    }
    json_decref(value);
}

static void ask(struct rp_image_index *index, const struct rp_peer *peer) {
    index->net.call(index->net.ctx, peer->addr, "GET", RP_PATH_IMAGES, NULL, ANSWER_S, came, index);
}

void rp_image_index_lead(struct rp_image_index *index) {
    take(index, index->known);
    for (size_t i = 0; i < index->settings->n_peers; i++)
        ask(index, &index->settings->peers[i]);
}

static void tick(void *arg) {
    struct rp_image_index *index = arg;
    rp_timer_set(index->loop, &index->timer, EVERY_S);
    const char *leader = rp_election_leader(index->election, rp_loop_now(index->loop));
    for (size_t i = 0; leader && i < index->settings->n_peers; i++)
        if (strcmp(index->settings->peers[i].name, leader) == 0)
            ask(index, &index->settings->peers[i]);
}
