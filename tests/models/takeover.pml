/* Model of a failover to a standby (src/election/election.c, src/standby/) for the model checker spin.
 * tests/models/run checks it, and that it detects three planted faults:
 * - NO_FENCE: the new leader does not end the deposed leader's lease;
 * - NO_EXPIRY_WAIT: it does not wait until the deposed leader's own view of its lease has expired;
 * - NO_DEPOSED_IN_KEY: after a restart, a node that holds the key does not read from it which leader it
 *   has to fence.
 *
 * The model has one machine M and one task. Node 0 leads at first. Node 1 takes over; its process may end and
 * restart at any moment and then continues from the leader's key in the key-value store. Time is counted
 * in ticks, which only the clock process advances; a node may pause between any two of its steps for any
 * time. Durations in ticks: a leader regards its lease as valid for TTL after it sent a renewal; a
 * worker's task runs for LEASE after the last response that the worker received. Direct commands of the new
 * leader do not reach M, so the leader has to wait until the task's lease has expired. Invariant: the task
 * never runs on M when another leader starts it elsewhere. */
#define TTL 2
#define LEASE 1
#define NODES 2
#define NOBODY 9
#define TICKS 4
#define VERSIONS 4 /* bound on the number of writes of the key */

byte now = 0;

/* The key-value store: the leader's key, and each node's lease, which ends by expiry or by a failover. */
byte key_holder = 0; /* the node named in the key; NOBODY: the key does not exist */
byte key_version = 1;
bool is_key_leased = true; /* the key is attached to its holder's lease */
byte deposed_in_key = NOBODY; /* the node whose lease the holder has to end, as stored in the key */
bool is_lease_active[NODES];
byte lease_expiry[NODES];

/* The machine M, on which the first leader has started the task. */
byte task_expiry; /* the task runs while `now` <= task_expiry */
bool started_elsewhere = false;

/* The local state of each node. */
bool is_leading[NODES];
bool is_first_term[NODES]; /* the node leads the term in which the task was started on M */
byte valid_until[NODES]; /* the node's own view of its lease */
byte fenced_leader_expiry[NODES]; /* until then the fenced leader may still regard its lease as valid */
byte task_possible_until[NODES]; /* last tick at which, in the node's view, the task may run on M */

/* Ends lease n and deletes the key if it is attached to the lease. */
inline end_lease(n) {
    is_lease_active[n] = false;
    key_version = (key_holder == n && is_key_leased -> key_version + 1 : key_version);
    key_holder = (key_holder == n && is_key_leased -> NOBODY : key_holder)
}

inline expire_lease(n) {
    key_version = (is_lease_active[n] && now > lease_expiry[n] && key_holder == n && is_key_leased ->
                   key_version + 1 : key_version);
    key_holder = (is_lease_active[n] && now > lease_expiry[n] && key_holder == n && is_key_leased ->
                  NOBODY : key_holder);
    is_lease_active[n] = is_lease_active[n] && now <= lease_expiry[n]
}

/* Ends the leases that have expired; part of every step that accesses the store. */
inline expire_leases() {
    expire_lease(0);
    expire_lease(1)
}

active proctype clock() {
    do
    :: now < TICKS -> now++
    :: now >= TICKS -> break
    od
}

/* One node. When its process ends, all its state but that in the key-value store is lost. */
proctype node(byte me) {
    byte sent_at, read_version, deposed, holder;
    bool is_renewed;

again:
    /* Values that are no longer needed are reset, since they would multiply the states. */
    atomic { sent_at = 0; read_version = 0; deposed = 0; holder = 0; is_renewed = false };
    do
    :: now >= TICKS -> goto done

    /* Leading: renews the lease. The store carries the request out in one step and responds in a later
     * one. */
    :: is_leading[me] ->
       sent_at = now;
       atomic {
           expire_leases();
           is_renewed = is_lease_active[me];
           lease_expiry[me] = (is_renewed -> now + TTL : lease_expiry[me])
       };
       if
       :: atomic { is_renewed && is_leading[me] ->
              valid_until[me] = (valid_until[me] < sent_at + TTL -> sent_at + TTL : valid_until[me]) }
       :: !is_renewed -> is_leading[me] = false
       :: true /* the response is lost */
       fi;
       goto again

    /* Leading: responds to the worker of M. The lease is checked in the same step. */
    :: atomic {
           is_leading[me] && now < valid_until[me] ->
           /* A task whose lease has expired is not renewed. */
           task_expiry = (now <= task_expiry -> now + LEASE : task_expiry);
           task_possible_until[me] = (task_possible_until[me] > now + LEASE ->
                                      task_possible_until[me] : now + LEASE)
       }

    /* Leading: the task can no longer run on M and is started elsewhere. */
    :: atomic {
           is_leading[me] && now < valid_until[me] && now > task_possible_until[me] &&
           !is_first_term[me] && !started_elsewhere ->
           assert(now > task_expiry);
           started_elsewhere = true
       }

    /* The process ends, at any moment, and restarts at once. */
    :: atomic { is_leading[me] -> is_leading[me] = false }

    /* Not leading: reads the key. Node 0 never becomes a leader again. */
    :: me == 1 && !is_leading[me] && key_version < VERSIONS ->
       atomic {
           expire_leases();
           holder = key_holder;
           read_version = key_version;
           deposed = (is_key_leased -> holder : deposed_in_key)
       };
       if
       :: holder == NOBODY -> deposed = NOBODY; goto lease
       :: holder == me ->
#ifdef NO_DEPOSED_IN_KEY
          deposed = NOBODY;
#else
          deposed = deposed_in_key;
#endif
          if
          :: deposed != NOBODY -> goto fence
          :: deposed == NOBODY -> goto lease
          fi
       :: holder != NOBODY && holder != me && deposed != NOBODY ->
          /* The node suspects that the holder has failed: it overwrites the holder's key, if that has not
           * changed since it was read. */
          atomic {
              expire_leases();
              if
              :: key_version == read_version ->
                 key_holder = me;
                 key_version++;
                 is_key_leased = false;
                 deposed_in_key = deposed;
                 read_version = key_version
              :: key_version != read_version -> goto again
              fi
          };
          goto fence
       :: holder != NOBODY && holder != me -> goto again /* the holder is not suspected */
       fi
    od;

fence:
    if
    :: goto again /* the process ends here, or the request is lost */
    :: true
    fi;
#ifndef NO_FENCE
    atomic {
        expire_leases();
        end_lease(deposed)
    };
#endif
    fenced_leader_expiry[me] = now + TTL;

lease:
    if
    :: goto again
    :: true
    fi;
    fenced_leader_expiry[me] = (deposed == NOBODY -> 0 : fenced_leader_expiry[me]);
    sent_at = now;
    atomic {
        expire_leases();
        is_lease_active[me] = true;
        lease_expiry[me] = now + TTL
    };
    if
    :: goto again
    :: true
    fi;
    atomic {
        expire_leases();
        if
        :: is_lease_active[me] && key_version == read_version ->
           key_holder = me;
           key_version++;
           is_key_leased = true;
           deposed_in_key = deposed;
           is_first_term[me] = false
        :: !(is_lease_active[me] && key_version == read_version) -> goto again
        fi
    };
    /* The store's response to the claim. An end of the process before it is covered: the next iteration
     * reads the key that names this node. */
    atomic {
        is_leading[me] = true;
        valid_until[me] = sent_at + TTL;
#ifdef NO_EXPIRY_WAIT
        task_possible_until[me] = now + LEASE
#else
        task_possible_until[me] =
            (fenced_leader_expiry[me] > now -> fenced_leader_expiry[me] : now) + LEASE
#endif
    };
    goto again;

done:
    skip
}

init {
    atomic {
        is_lease_active[0] = true;
        lease_expiry[0] = TTL;
        is_leading[0] = true;
        is_first_term[0] = true;
        valid_until[0] = TTL;
        task_possible_until[0] = LEASE;
        task_expiry = LEASE;
        run node(0);
        run node(1)
    }
}
