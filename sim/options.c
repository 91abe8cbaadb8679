#include "sim/options.h"

const char *
sop_mutant_name(enum sop_mutant mutant)
{
	static const char *const names[SOP_N_MUTANTS] = {
	    [SOP_NO_MUTANT] = "none",
	    [SOP_SLOW_CLOCK] = "slow-clock",
	    [SOP_LATE_EXPIRY] = "late-expiry",
	    [SOP_NO_WAIT] = "no-wait",
	    [SOP_EARLY_RESEND] = "early-resend",
	    [SOP_HIDDEN_STOPS] = "hidden-stops",
	    [SOP_NO_SEAL] = "no-seal",
	    [SOP_REFUSE_SENT] = "refuse-sent",
	    [SOP_FAST_AGENTS] = "fast-agents",
	    [SOP_NO_CATCH_UP] = "no-catch-up",
	    [SOP_DEAF_STORE] = "deaf-store",
	    [SOP_FORGOTTEN_CANCELS] = "forgotten-cancels",
	};

	return names[mutant];
}
