/*
 * Evidence of a holder (design 4.4): when a holder of a ledger range may refuse a claim as not-run.
 *
 * spec/ledger.pml checks with FRESH_REFUSAL that callers get true answers if no stale holder answers not-run. This model
 * checks the rule by which a holder that cannot read the epoch ensures that. It has one range, one key and three nodes.
 * Node 0 holds the first epoch. Each node may take over the range, release it in an orderly way, or restart and lose its
 * memory. Any process may pause at any step, any message between nodes may be lost, and the store may be down for one node
 * and up for another.
 *
 * The model has no clock, only expiry: when the wait of a take-over ends, all evidence and all checks that began before
 * the wait are too old. The bound on the age of evidence and the longer wait guarantee this if clocks run at nearly equal
 * rates. Apart from that, evidence may stay valid without limit.
 *
 * A node records an epoch in memory before it tries to take it. A holder renews its evidence by a read of the epoch, or if
 * all other members in its view answer that they know of no higher epoch and have not restarted since the last evidence.
 * A take-over settles at once if the last ownership ended in an orderly way, was settled by this process, or is released
 * by the process that settled it. Otherwise it settles after it has announced its epoch and waited. A node grants claims
 * once its take-over has settled.
 *
 * Property: a holder answers not-run only if no call with the key had run when it received the claim.
 *
 * Each of these switches removes one guard and must lead to a violation:
 *   NO_WAIT                a take-over settles without the wait
 *   NO_WITNESSES           a holder renews its evidence without the answers of the others
 *   ONE_WITNESS            one answer is enough
 *   EVIDENCE_BEFORE_CLAIM  the evidence is checked before the claim is received
 *   EVIDENCE_AT_END        the age of evidence counts from the end of its check
 *   NOTE_AFTER_RAISE       a node records an epoch only after it took it
 *   RESTARTED_WITNESS      a witness that restarted since the last evidence counts
 *   UNSETTLED_GIVES_UP     a take-over settles when a process releases an ownership that it had not settled; needs two
 *                          takers
 *   NO_ANNOUNCEMENT        with HIDDEN: the new epoch is not announced
 *   WAIT_FIRST             with HIDDEN: the new epoch is announced after the wait
 * HIDDEN: no other node has node 1 in its view of the members, and the announcements of node 1 arrive. LOST_ANNOUNCEMENT:
 * with HIDDEN, they may be lost. The design does not cover this case, so the run must fail.
 * A process that restarts no longer exists in this model: two processes at one address are not covered either.
 * REACH_WITNESSED, REACH_WAITED, REACH_GIVEN_UP and REACH_FREE assert that a part of the model is never reached. Their runs
 * must fail.
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
#define TAKERS BIT(1)                 /* nodes that may take over the range */
#endif
#ifndef REFUSERS
#define REFUSERS (BIT(0) | TAKERS)    /* nodes that get claims while the store is down for them */
#endif

/* The range row. */
byte epoch = 1, rowHolder = 0;
bool rowFree = false;

bool ran = false;                     /* a call with the key was granted and may have run */

/* Memory of the processes. An ownership of the range is identified by its epoch. */
byte known[NODES];                    /* the highest epoch learned of or tried */
byte settled[NODES];                  /* the last epoch that this process settled */
byte own[NODES];                      /* the epoch held; 0 for none */
bool installed[NODES];                /* settled and serving */

/* Evidence and the check in progress, for each holder. */
bool proof[NODES];                    /* the evidence is not too old */
byte before[NODES];                   /* waits that began after the evidence */
byte forgot[NODES];                   /* nodes that restarted after the evidence */
bool checking[NODES];
bool tooOld[NODES];                   /* a wait that began after the check has ended */
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

/* learn: node m learns that another node holds epoch e. It releases a lower epoch before it answers. */
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

/* endCheck turns a successful check into evidence whose age counts from the start of the check. */
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

/* A process that restarted has lost the epochs that others sent with their requests. */
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
	/* A new ownership starts with the rows written before it, since no other node can write any more. */
	:: atomic { installed[n] && tenure != own[n] -> tenure = own[n]; index = ran; asked = 0; checking[n] = false;
		claim = false; ranBefore = false; fresh = false }
	:: atomic { !installed[n] && tenure != 0 ->
		tenure = 0; asked = 0; index = false; claim = false; ranBefore = false; fresh = false }

	/* Grant a claim by a conditional write. */
	:: atomic { installed[n] && tenure == own[n] && !index && epoch == own[n] -> ran = true; index = true }

	/* A claim arrives while the store is down for this node. */
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

	/* Renew the evidence by a read of the range row. */
	:: atomic { (REFUSERS & BIT(n)) && installed[n] && tenure == own[n] && !checking[n] -> beginCheck(n); asked = 0 }
	:: atomic { installed[n] && checking[n] && tenure == own[n] && asked == 0 && epoch == own[n] -> endCheck(n) }

	/* Renew it by the answers of the others, which arrive one by one. */
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

/* A process takes over the range while it does not hold it, releases it and restarts. */
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
	/* The conditional write. It may be applied although the process has restarted or gets no answer. */
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
		/* Announce the epoch to the others, then wait. */
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
	/* A holder releases the range in an orderly way; the write of the range row may fail. */
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
