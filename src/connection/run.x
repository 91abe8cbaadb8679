/*
 * Messages between an entry and the agents of workers that run tasks under
 * leases (RUN_PROG).  The entry connects.  No call has a reply.  Times are
 * milliseconds; sizes are those of request/work.h.
 *
 * agent_ms is the time of sending on the agent's clock, as far as the entry
 * knows it: behind by the time that the last RUN_UPDATE was on its way.
 *
 * The program number changes with the messages, so that processes of different
 * versions refuse each other's connections.
 */

const RUN_NAME_MAX = 256;
const RUN_SPEC_MAX = 65536;
const RUN_BATCH_MAX = 4096;
const RUN_LABELS_MAX = 64;
const RUN_DOMAINS_MAX = 1024;
const RUN_SLOWED_MAX = 16;
const RUN_PAIRS_MAX = 64;

typedef string run_name<RUN_NAME_MAX>;

struct run_size {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t gpus;
};

/* What a worker has said of itself, as far as the sender knows. */
struct run_statement {
	uint64_t incarnation;	/* 0: nothing */
	run_name instance;
	run_name address;
	int64_t stated_ms;	/* the worker's clock at that, -1: unknown */
	bool draining;
	run_name service;
	run_name failure_domain;
	run_name labels<RUN_LABELS_MAX>;
	run_size capacity;
};

/*
 * First call of the entry.  An agent that was restarted learns from it what the
 * former process has told last on the connection before.
 */
struct run_open_args {
	run_name entry;
	uint64_t incarnation;
	run_statement *worker;	/* NULL: none is known */
	/* As in the last RUN_CANCELLED of the agent; 0: none was received. */
	uint64_t cancels_source;
	uint64_t cancels_position;
};

struct run_start {
	uint64_t seq;		/* unique within the connection */
	run_name task;
	uint64_t job_key;	/* as in run_cancelled */
	uint32_t spec;		/* index in specs of the message */
	run_name service;
	run_name queue;
	run_size size;
	uint32_t priority;	/* 0 first */
	int64_t expected_ms;	/* run time on this worker */
	int64_t nominal_ms;	/* run time on any worker of its kind */
	int64_t start_within_ms;	/* latest start, after agent_ms */
};

/* A text that may have U+0000. */
typedef opaque run_spec<RUN_SPEC_MAX>;

/* Tasks of one job share their spec. */
struct run_start_args {
	int64_t agent_ms;
	run_spec specs<RUN_BATCH_MAX>;
	run_start starts<RUN_BATCH_MAX>;
};

/* Withdraws starts: tasks not started yet are dropped, others are stopped. */
struct run_cancel_args {
	/*
	 * agent_ms, or earlier: the callers may have left the entry since then.
	 */
	int64_t given_up_ms;
	uint64_t seqs<RUN_BATCH_MAX>;
};

/* Heartbeat of the entry, with the failure domains taken out of service. */
struct run_heartbeat_args {
	int64_t agent_ms;	/* 0: no RUN_UPDATE has arrived */
	int64_t revision;	/* of the configuration, 0: none yet */
	int64_t age_ms;		/* since the store confirmed it, -1: unknown */
	run_name out<RUN_DOMAINS_MAX>;
};

/* Describes the agent's worker; sent first, and again when it changes. */
struct run_worker_args {
	bool shutting_down;	/* the agent takes no more starts */
	run_statement worker;
};

enum run_outcome {
	RUN_DONE = 0,
	RUN_FAILED = 1,		/* failure of the task or of the worker */
	RUN_NOT_STARTED = 2,	/* certainly not started */
	RUN_LOST = 3,		/* does not run any more; outcome unknown */
	RUN_STALLED = 4		/* stopped: no progress, or far too slow */
};

struct run_result {
	uint64_t seq;
	run_outcome outcome;
	int64_t run_ms;		/* projected if RUN_STALLED; 0: unknown */
	run_name reason;
};

/* A queue whose runs are slowed by those that the worker has now. */
struct run_slowed {
	run_name queue;
	uint32_t permille;	/* expected run time over the usual one */
};

/* Results, and the free capacity of the worker after them. */
struct run_update_args {
	run_result results<RUN_BATCH_MAX>;
	run_size free;		/* negative when starts are queued */
	bool accepting;		/* whether starts are accepted */
	uint32_t sessions;	/* entries connected to the agent */
	uint32_t slowness_permille;	/* run times against nominal, 0: unknown */
	int64_t clock_ms;	/* of the agent, above 0 */
	int64_t stated_ms;	/* as in the statement that is now in force */
	run_slowed slowed<RUN_SLOWED_MAX>;
	/* Starts that the entry may have sent over the connection in all. */
	uint64_t start_limit;
};

enum run_crash_state {
	RUN_CRASH_PRESUMED = 0,	/* the worker is silent, which may be a cut */
	RUN_CRASH_CONFIRMED = 1,
	RUN_CRASH_WITHDRAWN = 2
};

/* A run that was active when the worker crashed. */
struct run_suspect {
	run_name task;
	run_name queue;	uint32_t weight_permille;	/* how likely it is the cause */
	bool started;	/* the worker has confirmed the start */
};

/*
 * A crash of the agent's worker.  Sent when it is noticed, when its state
 * changes, and after the opening call for each that the agent remembers.
 */
struct run_crash_args {
	uint64_t id;		/* unique for the agent */
	int64_t age_ms;
	run_crash_state state;
	run_suspect suspects<RUN_BATCH_MAX>;	/* by falling weight */
};

/* A job that its caller has cancelled. */
struct run_cancelled {
	uint64_t key;		/* of host and path, see request/cancelled.h */
	int64_t age_ms;		/* since the cancel */
};

/*
 * Jobs that were cancelled.  An entry sends each to some agents, which answer
 * with RUN_CANCELS_KNOWN and pass it on to their other entries.  An agent sends
 * what an entry has missed first of all on a connection.
 */
struct run_cancelled_args {
	uint64_t source;	/* the agent's process; 0 from an entry */
	uint64_t position;	/* in what source has learned, after these jobs */
	run_cancelled jobs<RUN_BATCH_MAX>;
};

/*
 * The agent has recorded that these jobs are cancelled, and has passed that on
 * to the entries that are connected to it.
 */
struct run_cancels_known_args {
	uint64_t keys<RUN_BATCH_MAX>;
};

/*
 * How far the runs of a queue are slowed by one concurrent run of another queue
 * on the same worker.  See itf_exposure() for several.
 */
struct run_pair {
	run_name queue;
	run_name other;
	uint32_t weight;	/* number of runs behind it */
	int32_t mean_micro;	/* natural log of the factor, in millionths */
	uint32_t variance_micro;	/* of that, likewise */
	int64_t age_ms;		/* of the last run */
};

/*
 * From an agent: its own estimates.  From an entry: those of its agents, merged.
 * At most one call a second and connection.
 */
struct run_interference_args {
	run_pair pairs<RUN_PAIRS_MAX>;
};

program RUN_PROG {
	version RUN_V1 {
		void RUN_OPEN(run_open_args) = 1;
		void RUN_START(run_start_args) = 2;
		void RUN_CANCEL(run_cancel_args) = 3;
		void RUN_HEARTBEAT(run_heartbeat_args) = 4;
		void RUN_WORKER(run_worker_args) = 5;
		void RUN_UPDATE(run_update_args) = 6;
		void RUN_CRASH(run_crash_args) = 7;
		/* 8 was a cancel that was not acknowledged. */
		void RUN_INTERFERENCE(run_interference_args) = 9;
		void RUN_CANCELLED(run_cancelled_args) = 10;
		void RUN_CANCELS_KNOWN(run_cancels_known_args) = 11;
	} = 1;
} = 0x2000535A;
