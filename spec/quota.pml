/*
 * Loans of quotas (docs/design/quotas.md): one node lends its share of a quota to one of two owners. Shares of different nodes are
 * independent, so that the rights of all exist once if the share of one is never with two owners.
 *
 * Time passes in steps. Frames may be late, lost or change places. The lender and the owners may restart; a suspended process is one
 * that receives its frames late, since loans are compared with the clock when they are used.
 *
 * The lender knows how far its estimate of the owner's clock is behind: by the time that the latest reply was under way. A loan ends at
 * the owner LOAN after the estimated clock in it. The lender lends to another owner when LOAN has passed since it sent the last loan, or when
 * a release that follows all loans is acknowledged.
 *
 * Each of these switches removes one guard and must lead to a violation:
 *   RELEND_AT_ONCE      the lender does not wait for the end of a loan
 *   LOAN_FROM_ARRIVAL   a loan ends LOAN after its arrival
 *   CLOCK_AHEAD         the lender's estimate of the owner's clock may be ahead of it
 *   NO_SEQUENCE         a frame that was sent before a release establishes the loan again
 *   RELEASE_UNANSWERED  the lender does not wait for the acknowledgement of a release
 *   NO_UPTIME           a restarted lender lends at once
 *   FOREIGN_CLOCK       an owner accepts a loan with a clock that its process did not state
 * REACH_RELEASED, REACH_EXPIRED and REACH_REJECTED assert that a part of the model is never reached. Their runs must fail.
 */

#define LOAN 2
#define UPTIME LOAN   /* the loans of the process before have ended by then */
#ifndef END
#define END 7         /* last time */
#endif
#ifndef SENDS
#define SENDS 3       /* frames that the lender sends */
#endif
#define NONE 2        /* no owner */
#define UNKNOWN 255   /* no clock is known */

#define LEND 1
#define RELEASE 2

byte now = LOAN;

/* The lender. */
byte lentTo = NONE;
byte until;                    /* time from which the share may be lent to another owner */
byte sequence, sends;
byte release;                  /* sequence of the release in progress; 0 for none */
byte behind[2] = UNKNOWN;      /* of the estimated clock of each owner */
bool ofProcess[2];             /* the process of the owner that stated it */
byte wait;                     /* steps until the lender has been up for UPTIME */
bool restarted;

/* The owners. */
byte loanEnd[2];
byte seen[2];                  /* the highest sequence applied */
bool process[2];
bool ownerRestarted;

chan requests0 = [2] of { byte, byte, byte, bool}; /* kind, clock, sequence, process */
chan requests1 = [2] of { byte, byte, byte, bool };
chan replies0 = [1] of { byte, byte, bool };        /* clock, sequence, process */
chan replies1 = [1] of { byte, byte, bool };

#define OTHER(o) (1 - (o))

inline transmit(o, kind, clock) {
	sequence++; sends++;
	if
	:: o == 0 -> requests0!kind, clock, sequence, ofProcess[0]
	:: else -> requests1!kind, clock, sequence, ofProcess[1]
	fi
}

#define room(o) (sends < SENDS && ((o) == 0 && nfull(requests0) || (o) == 1 && nfull(requests1)))

#ifdef RELEND_AT_ONCE
#define ended true
#else
#define ended (lentTo == NONE)
#endif

#ifdef NO_UPTIME
#define mayLend true
#else
#define mayLend (wait == 0)
#endif

inline lend(o) {
#ifdef CLOCK_AHEAD
	transmit(o, LEND, now - behind[o] + 1);
#else
	transmit(o, LEND, now - behind[o]);
#endif
	lentTo = o; until = now + LOAN; release = 0
}

/* Times that have passed are all the same. */
inline pass() {
	now++;
	wait = (wait > 0 -> wait - 1 : 0);
	loanEnd[0] = (loanEnd[0] > now -> loanEnd[0] : 0);
	loanEnd[1] = (loanEnd[1] > now -> loanEnd[1] : 0);
	if
	:: lentTo != NONE && now >= until ->
#ifdef REACH_EXPIRED
		assert(false);
#endif
		lentTo = NONE; until = 0; release = 0
	:: else
	fi
}

inline takeBack() {
	transmit(lentTo, RELEASE, 0);
	release = sequence;
#ifdef RELEASE_UNANSWERED
	lentTo = NONE; release = 0;
#endif
}

inline apply(o, kind, clock, number, stated) {
	if
#ifndef NO_SEQUENCE
	:: number <= seen[o] -> skip
	:: kind == LEND && number > seen[o] ->
#else
	:: kind == LEND ->
#endif
		if
#ifdef FOREIGN_CLOCK
		:: clock <= now && clock + LOAN > now ->
#else
		:: clock <= now && clock + LOAN > now && stated == process[o] ->
#endif
			seen[o] = number;
#ifdef LOAN_FROM_ARRIVAL
			loanEnd[o] = now + LOAN
#else
			loanEnd[o] = clock + LOAN
#endif
		:: else ->
#ifdef REACH_REJECTED
			assert(false);
#endif
			skip
		fi
#ifndef NO_SEQUENCE
	:: kind == RELEASE && number > seen[o] ->
#else
	:: kind == RELEASE ->
#endif
		seen[o] = number; loanEnd[o] = 0
	fi;
	/* The share is with at most one owner. */
	assert(!(loanEnd[0] > now && loanEnd[1] > now))
}

inline learn(o, clock, number, stated) {
	behind[o] = now - clock;
	ofProcess[o] = stated;
	if
	:: release != 0 && number == release && lentTo == o ->
#ifdef REACH_RELEASED
		assert(false);
#endif
		lentTo = NONE; release = 0
	:: else
	fi
}

active proctype world() {
	byte kind, clock, number;
	bool stated;
	do
	:: atomic { now < END -> pass() }
	/* The first reply of an owner has been under way for up to a step. */
	:: atomic { behind[0] == UNKNOWN -> ofProcess[0] = process[0]; if :: behind[0] = 0 :: behind[0] = 1 fi }
	:: atomic { behind[1] == UNKNOWN -> ofProcess[1] = process[1]; if :: behind[1] = 0 :: behind[1] = 1 fi }
	:: atomic { room(0) && mayLend && behind[0] != UNKNOWN && (lentTo == 0 || ended) -> lend(0) }
	:: atomic { room(1) && mayLend && behind[1] != UNKNOWN && (lentTo == 1 || ended) -> lend(1) }
	:: atomic { lentTo != NONE && release == 0 && room(lentTo) -> takeBack() }
	/* Frames arrive, are lost, or change places. */
	:: atomic { requests0?kind, clock, number, stated -> apply(0, kind, clock, number, stated);
		if :: nfull(replies0) -> replies0!now, number, process[0] :: true fi; kind = 0; clock = 0; number = 0; stated = 0 }
	:: atomic { requests1?kind, clock, number, stated -> apply(1, kind, clock, number, stated);
		if :: nfull(replies1) -> replies1!now, number, process[1] :: true fi; kind = 0; clock = 0; number = 0; stated = 0 }
	:: atomic { requests0?_, _, _, _ }
	:: atomic { requests1?_, _, _, _ }
	:: atomic { full(requests0) -> requests0?kind, clock, number, stated; requests0!kind, clock, number, stated;
		kind = 0; clock = 0; number = 0; stated = 0 }
	:: atomic { full(requests1) -> requests1?kind, clock, number, stated; requests1!kind, clock, number, stated;
		kind = 0; clock = 0; number = 0; stated = 0 }
	:: atomic { replies0?clock, number, stated -> learn(0, clock, number, stated); clock = 0; number = 0; stated = 0 }
	:: atomic { replies1?clock, number, stated -> learn(1, clock, number, stated); clock = 0; number = 0; stated = 0 }
	:: atomic { !restarted -> restarted = true; wait = UPTIME; lentTo = NONE; until = 0; release = 0;
		behind[0] = UNKNOWN; behind[1] = UNKNOWN }
	:: atomic { !ownerRestarted -> ownerRestarted = true; process[0] = !process[0]; loanEnd[0] = 0; seen[0] = 0 }
	:: now == END -> break
	od
}
