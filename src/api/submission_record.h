/** @file
 * The stored record of an accepted submission. The store limits the size of a value: a record that
 * is too large is made shorter without a change of its meaning, or cut into parts that are written
 * in the same transaction. */
#ifndef RP_API_SUBMISSION_RECORD_H
#define RP_API_SUBMISSION_RECORD_H

#include "model/catalog.h"
#include "store/records.h"
#include "upgrade/format_upgrade.h"

/** The pieces in which a record is written; mostly one. */
struct rp_submission_pieces {
    json_t *values[RP_PARTS_MAX]; /* the job's own record first; whoever writes them owns them */
    size_t n;                     /* 0: no transaction can hold the record */
};

/** Makes the record of a job accepted now, in pieces of at most `value_max_bytes` and no more than
 * a transaction may have. Before the format is activated nobody reads parts, and what is too large
 * for one value gets none. Machine types that no machine is of may be taken out of `spec`. */
void rp_submission_record(const struct rp_upgrade *upgrade, const struct rp_catalog *catalog,
                          struct rp_job_spec *spec, size_t value_max_bytes,
                          struct rp_submission_pieces *out);
/** The bytes that a value may have: until every node knows better, today's limit. */
size_t rp_submission_value_max_bytes(const struct rp_upgrade *upgrade);

#endif
