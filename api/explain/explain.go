// Package explain defines the JSON types of GET and POST /explain on the metrics address of a node of the users' platform. The answer
// says where a request would go now, and why.
package explain

// Path is the path on the node's metrics address.
const Path = "/explain"

// Request describes the request to explain. The parameters of a GET have the JSON names; a key is accepted only in the body of a POST.
type Request struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method,omitempty"`
	// Team names the team of the caller; Key proves it. At most one of them may be set.
	Team string `json:"team,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Error is the body of a response with another status than 200.
type Error struct {
	Error string `json:"error"`
}

// Results of a request.
const (
	// ResultSent means that the request would be sent to the server of Outcome.
	ResultSent = "sent"
	// ResultRefused means that this node would answer itself.
	ResultRefused = "refused"
	// ResultLikelyRefused means that the last reports show no server that would take the request in time.
	ResultLikelyRefused = "likely refused"
)

// Answer is the explanation.
type Answer struct {
	Node    string  `json:"node"`
	Place   string  `json:"place"`
	Version uint64  `json:"version"`
	Outcome Outcome `json:"outcome"`

	Identity   Identity    `json:"identity"`
	Lease      Lease       `json:"lease"`
	Quota      Quota       `json:"quota"`
	Route      *Route      `json:"route,omitempty"`
	Split      []Part      `json:"split,omitempty"`
	Choice     *Choice     `json:"choice,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Queue      *Queue      `json:"queue,omitempty"`
	// Unknown lists what the node cannot know without sending the request.
	Unknown []Unknown `json:"unknown"`
}

// Outcome is what would happen to the request.
type Outcome struct {
	Result string `json:"result"`
	// Status and Cause are those of a refusal.
	Status int    `json:"status,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// RetryAfterMs is the smallest Retry-After time of the refusal, before jitter; 0 if there is none.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Service, Server and Place are those of the server that would get the request. Away is set if it is in another place than the node.
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	Place   string `json:"place,omitempty"`
	Away    bool   `json:"away,omitempty"`
}

// Identity is the decision about the caller's team.
type Identity struct {
	// Required is set if the route needs a key; Given says whether a key or the name of a team was given.
	Required bool   `json:"required"`
	Given    string `json:"given"`
	Team     string `json:"team,omitempty"`
	// Status and Cause are those of a refusal because of the team or key; Status is 0 without one.
	Status int    `json:"status,omitempty"`
	Cause  string `json:"cause,omitempty"`
}

// Lease is the proof that the version is the newest one.
type Lease struct {
	// Required is set if the node refuses keys without a recent proof (the setting failClosed).
	Required bool `json:"required"`
	Held     bool `json:"held"`
	// AgeMs is the age of the newest proof, or -1 without one. LimitMs is the time within which a revoked key must stop working.
	AgeMs   int64 `json:"ageMs"`
	LimitMs int64 `json:"limitMs,omitempty"`
}

// Quota is what this node knows about the quota of the team. The owner is not asked.
type Quota struct {
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// Owner is the address of the node that decides; Tokens is the number of tokens that this node holds.
	Owner  string `json:"owner,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// EmptyForMs is the time for which the owner has stated that it has no tokens.
	EmptyForMs int64 `json:"emptyForMs,omitempty"`
	// Decision is one of the values of quota.Outlook.Decision.
	Decision string `json:"decision,omitempty"`
}

// Route is the route of the request.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Public      bool   `json:"public"`
	Idempotent  bool   `json:"idempotent"`
	TimeoutMs   int64  `json:"timeoutMs"`
	ObjectiveMs int64  `json:"objectiveMs"`
	MaxAttempts int    `json:"maxAttempts"`
	// Rank is that of the call: the priority of the team and that of the route.
	Rank uint32 `json:"rank"`
	// AverageMs and AverageBytes are the averages of the route at this node; 0 while it has had no answered call.
	AverageMs    float64 `json:"averageMs"`
	AverageBytes int     `json:"averageBytes"`
}

// Part is a service of the route's split.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// Next is set for the service that gets the next call.
	Next bool `json:"next,omitempty"`
}

// Rules of the choice between servers of this place and others.
const (
	// RulePenalty prefers the place while its best estimate meets the objective, or exceeds the best one by at most the transfer penalty.
	RulePenalty = "this place, while its estimate meets the objective or exceeds the best one by at most the transfer penalty"
	// RuleShare selects the calls that leave the place at random, in the proportion of the shares.
	RuleShare = "this place, except for the share of the calls that leaves it"
)

// Choice is how the server was chosen among the candidates.
type Choice struct {
	Rule string `json:"rule"`
	// TransferPenaltyMs is that of RulePenalty.
	TransferPenaltyMs float64 `json:"transferPenaltyMs,omitempty"`
	// LeavingShares is the share of calls like this one that leaves for each other place, with RuleShare. The explanation assumes that a
	// call leaves if more than half of them do.
	LeavingShares map[string]float64 `json:"leavingShares,omitempty"`
}

// Candidate is a server of the service, in the order in which the choice prefers them; those that are not usable are last.
type Candidate struct {
	Node   string `json:"node"`
	Server string `json:"server"`
	Place  string `json:"place"`
	Chosen bool   `json:"chosen,omitempty"`
	// Unusable says why the server is no candidate; the following fields are then empty.
	Unusable string `json:"unusable,omitempty"`
	// Evacuated and Suspect are flags of the server. ColdMs is the time for which it stays cold; 0 if it is not cold.
	Evacuated bool    `json:"evacuated,omitempty"`
	Suspect   bool    `json:"suspect,omitempty"`
	ColdMs    int64   `json:"coldMs,omitempty"`
	RateLimit float64 `json:"rateLimit,omitempty"`
	// ReportAgeMs is the age of the load report, or -1 if there is none.
	ReportAgeMs float64 `json:"reportAgeMs"`
	InProgress  int     `json:"inProgress"`
	Queued      int     `json:"queued"`
	Limit       int     `json:"limit"`
	SentSince   int     `json:"sentSinceReport"`
	// EstimateMs is the expected time until the answer, and Terms its parts in milliseconds; parts of 0 are left out.
	EstimateMs float64            `json:"estimateMs"`
	Terms      map[string]float64 `json:"terms,omitempty"`
	HasRoom    bool               `json:"hasRoom"`
}

// Answers of the queue, as the last report suggests.
const (
	QueueStarts    = "starts at once"
	QueueWaits     = "waits"
	QueueRedirects = "redirects to another server"
	QueueRefuses   = "refuses: not in time"
)

// Queue is what the queue at the chosen server would answer, as far as the last report shows.
type Queue struct {
	Answer string  `json:"answer"`
	WaitMs float64 `json:"waitMs"`
	// RedirectMs is the expected wait from which the queue redirects the call; 0 if there is no other server.
	RedirectMs float64 `json:"redirectMs,omitempty"`
	// TimeLeftMs is the time until the deadline.
	TimeLeftMs int64 `json:"timeLeftMs"`
}

// Unknown is something that the node cannot know.
type Unknown struct {
	What string `json:"what"`
	Why  string `json:"why"`
}
