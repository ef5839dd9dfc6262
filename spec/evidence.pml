/*
 * Evidence of a holder (design 4.4): when a holder of a ledger range may refuse a claim as not-run.
 *
 * spec/ledger.pml checks with FRESH_REFUSAL that callers are told the truth if no stale holder says not-run. This model
 * checks the rule by which a holder that cannot read the epoch keeps to that. One range, one key, three nodes. Node 0
 * holds the first epoch. Each node may take the range over, leave in an orderly way, or restart without its memory; any
 * process may pause at any step, any message between nodes may be lost, and the store may be down for one node and up for another.
 *
 * Time is modelled by what is over: when a take-over has waited, all evidence and all checks that began before the wait
 * are too old. This is what the bound on the age of evidence and the longer wait guarantee, if clocks run at nearly equal
 * rates. Evidence may stay valid without limit otherwise.
 *
 * A node notes an epoch before it tries to take it. A holder renews its evidence by a read of the epoch, or if all other
 * members that it knows answer that they know of no higher epoch and have kept their memory since the last evidence. A
 * take-over settles at once if the last tenure was left in an orderly way, was settled by this process, or is given up by
 * the process that settled it; otherwise after it has announced its epoch and waited. It grants when it has settled.
 *
 * Property: a holder says not-run only if no call with the key had run when it received the claim.
 *
 * Each guard is removed by a switch, which must lead to a violation:
 *   NO_WAIT                a take-over settles without the wait
 *   NO_WITNESSES           a holder renews its evidence without the answers of the others
 *   ONE_WITNESS            one answer is enough
 *   EVIDENCE_BEFORE_CLAIM  the evidence is looked at before the claim is received
 *   EVIDENCE_AT_END        evidence counts from the end of its check
 *   NOTE_AFTER_RAISE       a node notes an epoch only after it took it
 *   RESTARTED_WITNESS      a witness that restarted since the last evidence counts
 *   UNSETTLED_GIVES_UP     a take-over goes on when a process gives up a tenure that it had not settled; needs two takers
 *   NO_ANNOUNCEMENT        with HIDDEN: the new epoch is not announced
 *   WAIT_FIRST             with HIDDEN: the new epoch is announced after the wait
 * HIDDEN: no other node knows node 1 as a member, and its announcements arrive. LOST_ANNOUNCEMENT: with HIDDEN, they may
 * be lost. The design does not cover this case, so the run must fail.
 * A process that restarts is gone in this model: two processes at one address are not covered either.
 * REACH_WITNESSED, REACH_WAITED, REACH_GIVEN_UP and REACH_FREE claim that a part of the model is never reached.
 */

#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NODES 3
#define BIT(n) (1 << (n))
#ifndef TAKERS
#define TAKERS BIT(1)                 /* nodes that may take the range over */
#endif
#ifndef REFUSERS
#define REFUSERS (BIT(0) | TAKERS)    /* nodes that get claims when the store is down for them */
#endif

/* The range row. */
byte epoch = 1, rowHolder = 0;
bool rowFree = false;

bool ran = false;                     /* a call with the key was granted and may have run */

/* What the processes hold in memory; epochs stand for tenures. */
byte known[NODES];                    /* the highest epoch known of or tried */
byte settled[NODES];                  /* the last epoch that this process settled */
byte own[NODES];                      /* the epoch held; 0 for none */
bool installed[NODES];                /* settled and serving */

/* Evidence and the check that runs, for each holder. */
bool proof[NODES];                    /* valid by its age */
byte before[NODES];                   /* waits that began after the evidence */
byte forgot[NODES];                   /* nodes that restarted after the evidence */
bool checking[NODES];
bool tooOld[NODES];                   /* a wait that began after the check is over */
byte checkBefore[NODES];
byte checkForgot[NODES];
byte restarts = RESTARTS;

#ifdef HIDDEN
#define KNOWN_MEMBERS(n) ((BIT(0) | BIT(2)) & ~BIT(n))
#else
#define KNOWN_MEMBERS(n) ((BIT(0) | BIT(1) | BIT(2)) & ~BIT(n))
#endif

inline drop(d) {
	own[d] = 0; installed[d] = false; proof[d] = false; checking[d] = false; tooOld[d] = false;
	before[d] = 0; checkBefore[d] = 0; forgot[d] = 0; checkForgot[d] = 0
}

/* learn: node m learns that another holds epoch e. It gives up a lower one before it answers. */
inline learn(m, e) {
	if
	:: known[m] < e -> known[m] = e
	:: else
	fi;
	if
	:: installed[m] && own[m] < known[m] -> drop(m)
	:: else
	fi
}

inline beginCheck(n) { checking[n] = true; tooOld[n] = false; checkBefore[n] = 0; checkForgot[n] = 0 }

/* endCheck turns a check that succeeded into evidence from the time of its beginning. */
inline endCheck(n) {
#ifdef EVIDENCE_AT_END
	proof[n] = true; before[n] = 0;
#else
	proof[n] = !tooOld[n]; before[n] = checkBefore[n];
#endif
	forgot[n] = checkForgot[n];
	checking[n] = false; tooOld[n] = false; checkBefore[n] = 0; checkForgot[n] = 0
}

inline beginWait(w) {
	before[0] = before[0] | BIT(w); before[1] = before[1] | BIT(w); before[2] = before[2] | BIT(w);
	checkBefore[0] = checkBefore[0] | BIT(w); checkBefore[1] = checkBefore[1] | BIT(w);
	checkBefore[2] = checkBefore[2] | BIT(w)
}

inline expire(v, h) {
	proof[h] = proof[h] && !(before[h] & BIT(v));
	tooOld[h] = tooOld[h] || (checkBefore[h] & BIT(v));
	before[h] = before[h] & ~BIT(v);
	checkBefore[h] = checkBefore[h] & ~BIT(v)
}

inline endWait(w) { expire(w, 0); expire(w, 1); expire(w, 2) }

/* A process that restarted has forgotten what others asked about. */
inline forget(m) {
	forgot[0] = forgot[0] | BIT(m); forgot[1] = forgot[1] | BIT(m); forgot[2] = forgot[2] | BIT(m);
	checkForgot[0] = checkForgot[0] | BIT(m); checkForgot[1] = checkForgot[1] | BIT(m);
	checkForgot[2] = checkForgot[2] | BIT(m);
	known[m] = 0; settled[m] = 0; drop(m)
}

/* Holders serve claims and renew their evidence. */
proctype Holder(byte n) {
	byte asked = 0, m = 0;
	bool claim = false, ranBefore = false, index = false, fresh = false;
	byte tenure = 0;

end:	do
	/* A new tenure begins with the rows that were written before: nobody else can write any more. */
	:: atomic { installed[n] && tenure != own[n] -> tenure = own[n]; index = ran; asked = 0; checking[n] = false;
		claim = false; ranBefore = false; fresh = false }
	:: atomic { !installed[n] && tenure != 0 ->
		tenure = 0; asked = 0; index = false; claim = false; ranBefore = false; fresh = false }

	/* Grant by a conditional write. */
	:: atomic { installed[n] && tenure == own[n] && !index && epoch == own[n] -> ran = true; index = true }

	/* A claim comes, and the store is down for this node. */
#ifdef EVIDENCE_BEFORE_CLAIM
	:: atomic { (REFUSERS & BIT(n)) && installed[n] && tenure == own[n] && !fresh && !claim && proof[n] -> fresh = true }
	:: atomic { fresh && !claim -> claim = true; ranBefore = ran }
	:: atomic { claim && installed[n] && tenure == own[n] ->
		assert(index || !ranBefore);
#else
	:: atomic { (REFUSERS & BIT(n)) && installed[n] && tenure == own[n] && !claim -> claim = true; ranBefore = ran }
	:: atomic { claim && installed[n] && tenure == own[n] && proof[n] ->
		assert(index || !ranBefore);
#endif
		claim = false; ranBefore = false; fresh = false }

	/* Renew the evidence by a read of the row. */
	:: atomic { (REFUSERS & BIT(n)) && installed[n] && tenure == own[n] && !checking[n] -> beginCheck(n); asked = 0 }
	:: atomic { installed[n] && checking[n] && tenure == own[n] && asked == 0 && epoch == own[n] -> endCheck(n) }

	/* Renew it by the answers of the others, which come one by one. */
	:: atomic { installed[n] && checking[n] && tenure == own[n] ->
		if
		:: m = 0
		:: m = 1
		:: m = 2
		fi;
		if
		:: (KNOWN_MEMBERS(n) & BIT(m)) && !(asked & BIT(m)) ->
			learn(m, own[n]);
			if
#ifdef RESTARTED_WITNESS
			:: known[m] <= own[n] -> asked = asked | BIT(m)
#else
			:: known[m] <= own[n] && !(forgot[n] & BIT(m)) -> asked = asked | BIT(m)
#endif
			:: else
			fi
		:: else
		fi;
		m = 0 }
#ifdef NO_WITNESSES
	:: atomic { installed[n] && checking[n] && tenure == own[n] -> endCheck(n); asked = 0 }
#endif
#ifdef ONE_WITNESS
	:: atomic { installed[n] && checking[n] && tenure == own[n] && asked != 0 -> endCheck(n); asked = 0 }
#endif
	:: atomic { installed[n] && checking[n] && tenure == own[n] && asked == KNOWN_MEMBERS(n) ->
#ifdef REACH_WITNESSED
		assert(false);
#endif
		endCheck(n); asked = 0 }
	od
}

/* A process takes the range over while it does not hold it, leaves and restarts. */
proctype Process(byte n) {
	byte want = 0, last = 0, lastHolder = 0;
	bool lastFree = false, waiting = false;

end:	do
	:: atomic { (TAKERS & BIT(n)) && own[n] == 0 && want == 0 && epoch < EPOCHS ->
		want = epoch + 1; last = epoch; lastHolder = rowHolder; lastFree = rowFree;
		beginCheck(n);
#ifndef NOTE_AFTER_RAISE
		known[n] = want
#endif
	}
	/* The conditional write; it may take effect although the process has restarted or does not learn of it. */
	:: atomic { want != 0 && own[n] == 0 ->
		if
		:: epoch == last ->
			epoch = want; rowHolder = n; rowFree = false;
			own[n] = want; endCheck(n)
		:: epoch == last -> epoch = want; rowHolder = n; rowFree = false; want = 0; drop(n)      /* the answer is lost */
		:: want = 0; drop(n)
		fi }
#ifdef NOTE_AFTER_RAISE
	:: atomic { own[n] != 0 && want == own[n] && known[n] < want -> known[n] = want }
#endif
	/* Settle. */
	:: atomic { want != 0 && want == own[n] && settled[n] < want && (lastFree || (settled[n] == last && last != 0)) ->
#ifdef REACH_FREE
		assert(!lastFree);
#endif
		settled[n] = want }
	:: atomic { want != 0 && want == own[n] && settled[n] < want && lastHolder != n ->
		learn(lastHolder, want);
		if
#ifdef UNSETTLED_GIVES_UP
		:: known[lastHolder] >= last ->
#else
		:: settled[lastHolder] == last ->
#endif
#ifdef REACH_GIVEN_UP
			assert(false);
#endif
			settled[n] = want
		:: else
		fi }
	:: atomic { want != 0 && want == own[n] && settled[n] < want && !waiting ->
		/* Announce to the others, then wait. */
#if defined(NO_ANNOUNCEMENT) || defined(WAIT_FIRST)
		skip;
#else
#if defined(HIDDEN) && !defined(LOST_ANNOUNCEMENT)
		if
		:: n == 1 -> learn(2, want)
		:: else
		fi;
#endif
#endif
		beginWait(n); waiting = true }
#ifdef NO_WAIT
	:: atomic { want != 0 && want == own[n] && settled[n] < want -> settled[n] = want }
#endif
	:: atomic { want != 0 && want == own[n] && settled[n] < want && waiting ->
#ifdef WAIT_FIRST
		if
		:: n == 1 -> learn(2, want)
		:: else
		fi;
#endif
#ifdef REACH_WAITED
		assert(false);
#endif
		endWait(n); waiting = false; settled[n] = want }
	/* Install, unless a higher epoch is known. */
	:: atomic { want != 0 && want == own[n] && settled[n] == want ->
		if
		:: known[n] > want -> drop(n)
		:: else -> installed[n] = true
		fi;
		want = 0; last = 0; lastHolder = 0; lastFree = false; waiting = false }
	/* The take-over fails after its write, or the process restarts. */
	:: atomic { want != 0 && own[n] != 0 && !installed[n] ->
		drop(n); want = 0; last = 0; lastHolder = 0; lastFree = false; waiting = false }
	/* A holder leaves in an orderly way; the record may not be written. */
	:: atomic { installed[n] && want == 0 ->
		if
		:: epoch == own[n] -> rowFree = true
		:: true
		fi;
		drop(n) }
	:: atomic { restarts > 0 -> restarts--; forget(n);
		want = 0; last = 0; lastHolder = 0; lastFree = false; waiting = false }
	od
}

init {
	atomic {
		known[0] = 1; settled[0] = 1; own[0] = 1; installed[0] = true; proof[0] = true;
		run Holder(0); run Holder(1); run Holder(2);
		run Process(0); run Process(1); run Process(2)
	}
}
