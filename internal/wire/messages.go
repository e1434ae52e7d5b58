package wire

//msgp:tuple Hello Heartbeat Head HeadFile HeadRequest HeadReply FileRequest FileReply File Subscribe ConfigUpdate
//msgp:tuple Placement EndpointPlacement Resident Intent PlacementUpdate Member MembersUpdate EndpointState EndpointsUpdate
//msgp:tuple ModelDemand EntryStatus DemandReport Ask Queued Grant Refuse Done Cancel Preempt Running Resync
//msgp:tuple ClaimRequest ClaimReply ClaimResult Ack Inquiry InquiryReply Decision DecisionField ModelCells CellMembers DirectoryUpdate

// Role names the process that opened a connection.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleControl
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	Host        string
	Role        Role
	Incarnation uint64 // start of the process, unique per host
	Cell        string
	Zone        string // availability zone
}

// Heartbeat is sent by every control process to every other one of its cell, once a second.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Revision    uint64 // configuration revision in force
	Placement   uint64 // version of the placement in use
	Epoch       uint64 // lease epoch that the sender holds, 0 if it is not the holder
	Load        uint16 // share of the entry's request capacity in use, per mille
	Leaving     bool
}

// Head names the files of one configuration revision.
type Head struct {
	Revision uint64     `json:"revision"`
	Author   string     `json:"author"`
	UnixTime int64      `json:"unixTime"` // seconds, for display only
	Files    []HeadFile `json:"files"`
}

// HeadFile is the digest of one declaration file.
type HeadFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"` // hex SHA-256 of the content
}

// File is one declaration file with its content.
type File struct {
	Name    string `json:"name"`
	Digest  string `json:"digest"`
	Content []byte `json:"content"`
}

// HeadRequest asks another control process for its configuration head.
type HeadRequest struct{}

// HeadReply answers a HeadRequest. Revision 0 means that the sender has no configuration.
type HeadReply struct{ Head Head }

// FileRequest asks another control process for files by digest.
type FileRequest struct{ Digests []string }

// FileReply answers a FileRequest with the files that the sender has.
type FileReply struct{ Files []File }

// Subscribe asks a control process to push updates to an entry process. Revision is the one the entry has.
type Subscribe struct {
	Revision  uint64
	Placement uint64
}

// ConfigUpdate carries a whole configuration revision to an entry process.
type ConfigUpdate struct {
	Head  Head
	Files []File
}

// Action is an order to an engine.
type Action uint8

// Orders to an engine.
const (
	ActionLoad Action = iota + 1
	ActionUnload
)

// Resident is a model or adapter in an endpoint's memory, proven by a report of the endpoint.
type Resident struct {
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
	Bytes   int64  `json:"bytes"`
}

// Intent is an order that is stored before it is sent and charged until a report resolves it.
type Intent struct {
	ID      uint64 `json:"id"`
	Epoch   uint64 `json:"epoch"` // fencing token that the order carries
	Action  Action `json:"action"`
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
	Base    string `json:"base,omitempty"` // base model of an adapter
	Bytes   int64  `json:"bytes"`
}

// EndpointPlacement is what one endpoint holds and what has been ordered from it.
type EndpointPlacement struct {
	Endpoint    string     `json:"endpoint"`
	Incarnation string     `json:"incarnation,omitempty"` // of the engine process whose reports proved the residents
	Sequence    uint64     `json:"sequence,omitempty"`    // of the report that proved the residents
	Residents   []Resident `json:"residents,omitempty"`
	Intents     []Intent   `json:"intents,omitempty"`
	Leaving     bool       `json:"leaving,omitempty"`
	// Generation counts the changes of the endpoint's owner. The cell may order the endpoint only while its own
	// placement holds an account that is not released.
	Generation uint64 `json:"generation,omitempty"`
	Released   bool   `json:"released,omitempty"`  // given up by this cell with this generation, or taken from it
	FenceBase  uint64 `json:"fenceBase,omitempty"` // added to the epoch, so that fencing tokens also grow across owners
}

// Placement is the content of a cell's placement object. Only the holder of the cell's lease writes it.
type Placement struct {
	Cell       string              `json:"cell"`
	Epoch      uint64              `json:"epoch"`
	Version    uint64              `json:"version"` // grows by one with each write
	NextIntent uint64              `json:"nextIntent"`
	Endpoints  []EndpointPlacement `json:"endpoints"`
	Takeovers  uint64              `json:"takeovers,omitempty"` // writes by other cells that took endpoints over
}

// PlacementUpdate carries the cell's placement to an entry process.
type PlacementUpdate struct{ Placement Placement }

// Member is a live host of the cell.
type Member struct {
	Host           string `json:"host"`
	Zone           string `json:"zone"`
	Incarnation    uint64 `json:"incarnation"`
	ControlAddress string `json:"controlAddress"` // ip:port of the control process for other processes
	EntryAddress   string `json:"entryAddress"`   // ip:port of the entry process for other entries
	Leaving        bool   `json:"leaving,omitempty"`
	CallerAddress  string `json:"callerAddress,omitempty"` // ip:port of the entry process for callers and forwarded requests
}

// MembersUpdate carries the live hosts of the cell to an entry process.
type MembersUpdate struct {
	Members []Member
	Holder  string // host that holds the cell's lease, empty if unknown
}

// EndpointState is the latest known state of an endpoint.
type EndpointState struct {
	Endpoint string
	Leaving  bool // no new work may be sent
	Reason   string
	Running  uint32
	Waiting  uint32
	AgeMs    uint32 // age of the report
}

// EndpointsUpdate carries endpoint states to an entry process.
type EndpointsUpdate struct{ States []EndpointState }

// ModelDemand is the work that arrived for one model or adapter since the previous report.
type ModelDemand struct {
	Name     string
	Requests uint32
	Tokens   uint64 // prompt and generated tokens
	Refused  uint32
}

// EntryStatus is sent by an entry process to the control process it is subscribed to, once a second.
type EntryStatus struct {
	Revision uint64
	InFlight uint32
	Load     uint16 // per mille
	Leaving  bool
	Demand   []ModelDemand
}

// DemandReport forwards demand from a control process to the holder of the lease.
type DemandReport struct {
	Host   string
	Demand []ModelDemand
}

// Ask requests an endpoint for one attempt of a request.
type Ask struct {
	ID           uint64 // unique per entry process
	Caller       string
	Rank         string
	Model        string // model or adapter
	PromptTokens uint32
	MaxTokens    uint32
	DeadlineMs   uint32 // time left until the first token is useless to the caller
	PrefixHash   uint64 // hash of the prompt's prefix, 0 if unknown
	Exclude      []string
	Resumed      bool   // the attempt continues a stream that has begun; it is not refused for its deadline
	Preemptions  uint8  // how often the request has been preempted
	Bound        string // endpoint that the entry chose alone: the dispatcher only counts it and does not answer
	Request      string // request id of the caller, for the decision journal
}

// Queued tells that an Ask waits in the queue.
type Queued struct{ ID uint64 }

// Grant binds a request to an endpoint and reserves a slot there until Done or Cancel.
type Grant struct {
	ID       uint64
	Endpoint string
}

// Refuse is the final answer to an Ask that can't be served in time.
type Refuse struct {
	ID           uint64
	Reason       string
	RetryAfterMs uint32
}

// Done releases the slot of a granted request.
type Done struct {
	ID       uint64
	Endpoint string
	Outcome  uint8 // attempt.Outcome
	Tokens   uint32
	FirstMs  uint32 // time to first token
	TotalMs  uint32
	Failed   bool // the endpoint failed: it counts towards its ejection
}

// Cancel withdraws an Ask or releases a grant that was not used.
type Cancel struct{ ID uint64 }

// Preempt asks the entry to stop a granted request and to Ask again, so that its slot goes to more urgent work.
type Preempt struct{ ID uint64 }

// Running is a granted request in a Resync.
type Running struct {
	Ask      Ask
	Endpoint string
}

// Resync tells a new dispatcher what an entry has waiting and in flight.
type Resync struct {
	Waiting []Ask
	Running []Running
}

// ClaimRequest claims an idempotency key for one attempt before it is sent.
type ClaimRequest struct {
	Caller      string
	Key         string
	Attempt     string // unique id of the attempt
	Fingerprint uint64 // hash of method, path and body
}

// ClaimState is the answer to a ClaimRequest.
type ClaimState uint8

// Answers to a ClaimRequest.
const (
	ClaimGranted     ClaimState = iota + 1
	ClaimTaken                  // another attempt holds the key
	ClaimMismatch               // the key was used with another request
	ClaimUnavailable            // the claim could not be stored: the request is not run
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	State        ClaimState
	Outcome      uint8 // attempt.Outcome recorded for the key, if ClaimTaken; with ClaimUnavailable, NotSent if nothing was stored
	Status       uint16
	RetryAfterMs uint32
}

// ClaimResult records how a claimed attempt ended. A result that proves that the request was not run releases the key.
type ClaimResult struct {
	Caller  string
	Key     string
	Attempt string
	Outcome uint8
	Status  uint16
}

// Ack confirms a message that has no other reply.
type Ack struct{}

// Inquiry asks a process for what it knows when an operator asks. A control process also asks the entries subscribed to
// it. It costs nothing while no operator asks.
type Inquiry struct {
	Subject string // request id, model or endpoint whose decisions are wanted, empty for none
	Reports bool   // the latest reports of endpoints are wanted, which only the holder of the lease has
}

// InquiryReply answers an Inquiry.
type InquiryReply struct {
	Decisions []Decision
	Reports   []EndpointState
	Missing   []string // processes that did not answer in time
}

// Decision is an entry of a process's decision journal.
type Decision struct {
	UnixMicro int64 // by the clock of the process, for display only
	Part      string
	Subject   string
	Decision  string
	Reason    string
	Fields    []DecisionField // in the order of their names
}

// DecisionField is one further fact about a decision. A list of them stands for a map, which the protocol does not allow.
type DecisionField struct{ Name, Value string }

// ModelCells names the cells that serve a model or adapter.
type ModelCells struct {
	Model string
	Cells []string
}

// CellMembers are the hosts of a cell.
type CellMembers struct {
	Cell    string
	Members []Member
}

// DirectoryUpdate carries what is known of the other cells to an entry process. A model that no other cell serves and
// the own cell are left out.
type DirectoryUpdate struct {
	Models []ModelCells
	Cells  []CellMembers
}
