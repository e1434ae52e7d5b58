package wire

// Heartbeat and the elements of long lists are encoded as arrays, because their size counts against the budget of
// control traffic. Their fields never change; an extension needs a new message.
//
//msgp:tuple Heartbeat HeadFile Resident ModelDemand DecisionField PromptPart EndpointLoad ModelLoad AdapterUse CopyUse AdapterCopy ModelCopy ModelWeight StoredObject

// Role names the process that opened a connection.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleControl
	RoleHost
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	Host        string `msg:"a"`
	Role        Role   `msg:"b"`
	Incarnation uint64 `msg:"c"` // start of the process, unique per host
	Cell        string `msg:"d"`
	Zone        string `msg:"e"` // availability zone
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
	Revision uint64     `json:"revision" msg:"a"`
	Author   string     `json:"author" msg:"b"`
	UnixTime int64      `json:"unixTime" msg:"c"` // seconds, for display only
	Files    []HeadFile `json:"files" msg:"d"`
}

// HeadFile is the digest of one declaration file.
type HeadFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"` // hex SHA-256 of the content
}

// File is one declaration file with its content.
type File struct {
	Name    string `json:"name" msg:"a"`
	Digest  string `json:"digest" msg:"b"`
	Content []byte `json:"content" msg:"c"`
}

// HeadRequest asks another control process for its configuration head.
type HeadRequest struct{}

// HeadReply answers a HeadRequest. Revision 0 means that the sender has no configuration.
type HeadReply struct {
	Head Head `msg:"a"`
}

// FileRequest asks another control process for files by digest.
type FileRequest struct {
	Digests []string `msg:"a"`
}

// FileReply answers a FileRequest with the files that the sender has.
type FileReply struct {
	Files []File `msg:"a"`
}

// Subscribe asks a control process to push updates to an entry process. Revision is the one the entry has.
type Subscribe struct {
	Revision  uint64 `msg:"a"`
	Placement uint64 `msg:"b"`
}

// ConfigUpdate carries a whole configuration revision to an entry process.
type ConfigUpdate struct {
	Head  Head   `msg:"a"`
	Files []File `msg:"b"`
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
	ID      uint64 `json:"id" msg:"a"`
	Epoch   uint64 `json:"epoch" msg:"b"` // fencing token that the order carries
	Action  Action `json:"action" msg:"c"`
	Name    string `json:"name" msg:"d"`
	Adapter bool   `json:"adapter,omitempty" msg:"e"`
	Base    string `json:"base,omitempty" msg:"f"` // base model of an adapter
	Bytes   int64  `json:"bytes" msg:"g"`
}

// EndpointPlacement is what one endpoint holds and what has been ordered from it.
type EndpointPlacement struct {
	Endpoint    string     `json:"endpoint" msg:"a"`
	Incarnation string     `json:"incarnation,omitempty" msg:"b"` // of the engine process whose reports proved the residents
	Sequence    uint64     `json:"sequence,omitempty" msg:"c"`    // of the report that proved the residents
	Residents   []Resident `json:"residents,omitempty" msg:"d"`
	Intents     []Intent   `json:"intents,omitempty" msg:"e"`
	Leaving     bool       `json:"leaving,omitempty" msg:"f"`
	// Generation counts the changes of the endpoint's owner. The cell may order the endpoint only while its own
	// placement holds an account that is not released.
	Generation uint64 `json:"generation,omitempty" msg:"g"`
	Released   bool   `json:"released,omitempty" msg:"h"`  // given up by this cell with this generation, or taken from it
	FenceBase  uint64 `json:"fenceBase,omitempty" msg:"i"` // added to the epoch, so that fencing tokens also grow across owners
}

// Placement is the content of a cell's placement object. Only the holder of the cell's lease writes it.
type Placement struct {
	Cell       string              `json:"cell" msg:"a"`
	Epoch      uint64              `json:"epoch" msg:"b"`
	Version    uint64              `json:"version" msg:"c"` // grows by one with each write
	NextIntent uint64              `json:"nextIntent" msg:"d"`
	Endpoints  []EndpointPlacement `json:"endpoints" msg:"e"`
	Takeovers  uint64              `json:"takeovers,omitempty" msg:"f"` // writes by other cells that took endpoints over
}

// PlacementUpdate carries the cell's placement to an entry process.
type PlacementUpdate struct {
	Placement Placement `msg:"a"`
}

// Member is a live host of the cell.
type Member struct {
	Host           string `json:"host" msg:"a"`
	Zone           string `json:"zone" msg:"b"`
	Incarnation    uint64 `json:"incarnation" msg:"c"`
	ControlAddress string `json:"controlAddress" msg:"d"` // ip:port of the control process for other processes
	EntryAddress   string `json:"entryAddress" msg:"e"`   // ip:port of the entry process for other entries
	Leaving        bool   `json:"leaving,omitempty" msg:"f"`
	CallerAddress  string `json:"callerAddress,omitempty" msg:"g"` // ip:port of the entry process for callers and forwarded requests
}

// MembersUpdate carries the live hosts of the cell to an entry process.
type MembersUpdate struct {
	Members []Member `msg:"a"`
	Holder  string   `msg:"b"` // host that holds the cell's lease, empty if unknown
}

// EndpointState is the latest known state of an endpoint.
type EndpointState struct {
	Endpoint string `msg:"a"`
	Leaving  bool   `msg:"b"` // no new work may be sent
	Reason   string `msg:"c"`
	Running  uint32 `msg:"d"`
	Waiting  uint32 `msg:"e"`
	AgeMs    uint32 `msg:"f"` // age of the report
}

// EndpointsUpdate carries endpoint states to an entry process.
type EndpointsUpdate struct {
	States []EndpointState `msg:"a"`
}

// ModelDemand is the work that arrived for one model or adapter since the previous report.
type ModelDemand struct {
	Name     string
	Requests uint32
	Tokens   uint64 // prompt and generated tokens
	Refused  uint32
}

// EntryStatus is sent by an entry process to the control process it is subscribed to, once a second.
type EntryStatus struct {
	Revision uint64        `msg:"a"`
	InFlight uint32        `msg:"b"`
	Load     uint16        `msg:"c"` // per mille
	Leaving  bool          `msg:"d"`
	Demand   []ModelDemand `msg:"e"`
}

// DemandReport forwards demand from a control process to the holder of the lease.
type DemandReport struct {
	Host   string        `msg:"a"`
	Demand []ModelDemand `msg:"b"`
}

// Ask requests an endpoint for one attempt of a request.
type Ask struct {
	ID             uint64   `msg:"a"` // unique per entry process
	Caller         string   `msg:"b"`
	Rank           string   `msg:"c"`
	Model          string   `msg:"d"` // model or adapter
	PromptTokens   uint32   `msg:"e"`
	MaxTokens      uint32   `msg:"f"`
	DeadlineMs     uint32   `msg:"g"` // time left until the first token is useless to the caller
	PrefixHash     uint64   `msg:"h"` // hash of the prompt's prefix, 0 if unknown
	Exclude        []string `msg:"i"`
	Resumed        bool     `msg:"j"` // the attempt continues a stream that has begun; it is not refused for its deadline
	Preemptions    uint8    `msg:"k"` // how often the request has been preempted
	ChosenEndpoint string   `msg:"l"` // endpoint that the entry chose alone: the dispatcher only counts it and does not answer
	Request        string   `msg:"m"` // request id of the caller, for the decision journal

	// The following are set by hosts whose dispatcher counts tokens and time (package sched).

	Service        string       `msg:"n"`
	Adapter        string       `msg:"o"` // name within the model, empty for none
	Priority       uint8        `msg:"p"` // rank, 0 is the most urgent
	TargetMs       uint32       `msg:"q"` // time left until the first piece is late
	PromptParts    []PromptPart `msg:"r"` // of the prompt, in order
	ExpectedTokens uint32       `msg:"s"` // output tokens that the caller expects, 0 if unknown
	Retry          bool         `msg:"t"` // an earlier attempt of the request reached an endpoint
	WarmEndpoints  []string     `msg:"u"` // endpoints to which the host keeps an idle connection
	EndMs          uint32       `msg:"v"` // time left until the whole answer has to be there, 0 for no bound
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens uint32
}

// Queued tells that an Ask waits in the queue.
type Queued struct {
	ID uint64 `msg:"a"`
}

// Grant binds a request to an endpoint and reserves a slot there until Done or Cancel.
type Grant struct {
	ID        uint64 `msg:"a"`
	Endpoint  string `msg:"b"`
	Prepare   bool   `msg:"c"` // the request's adapter has to be loaded first
	Holder    string `msg:"h"` // host that gives orders to endpoints, with Prepare
	UsedSlots uint16 `msg:"d"` // places taken at the endpoint before
	Waiting   uint16 `msg:"e"` // requests that wait for the same model
	QueueMs   uint32 `msg:"f"` // time in the queue
	FirstMs   uint32 `msg:"g"` // predicted time to the first piece
	// Evict is the adapter that makes room, with Prepare; empty if the dispatcher knows of a free place.
	Evict ModelAdapter `msg:"i"`
	// Keep are the adapters that the dispatcher counts on at the endpoint, with Prepare: they don't make room.
	Keep []ModelAdapter `msg:"j"`
}

// ModelAdapter names an adapter of a model.
type ModelAdapter struct {
	Model   string
	Adapter string
}

// Refuse is the final answer to an Ask that can't be served in time.
type Refuse struct {
	ID           uint64 `msg:"a"`
	Reason       string `msg:"b"`
	RetryAfterMs uint32 `msg:"c"`
}

// Done releases the slot of a granted request.
type Done struct {
	ID           uint64 `msg:"a"`
	Endpoint     string `msg:"b"`
	Outcome      uint8  `msg:"c"` // attempt.Outcome
	Tokens       uint32 `msg:"d"`
	FirstMs      uint32 `msg:"e"` // time to first token
	TotalMs      uint32 `msg:"f"`
	Failed       bool   `msg:"g"` // the endpoint failed: it counts towards its ejection
	Fault        uint8  `msg:"h"` // what failed, a sched.Fault; 0 for nothing
	Missing      bool   `msg:"i"` // the endpoint does not hold the request's model or adapter
	Resends      uint8  `msg:"j"` // times that the request was sent to the endpoint again while its adapter was on the way
	RetryAfterMs uint32 `msg:"k"` // for which the endpoint wants nothing from the sending host
	Events       uint32 `msg:"l"` // of a stream, that came in the attempt
	StreamMs     uint32 `msg:"m"` // from the first to the last of them
}

// EndpointLeaves tells that an endpoint has said in an answer that it leaves. The list may show that later, or never.
type EndpointLeaves struct {
	Endpoint    string `msg:"a"`
	StartUnixMs int64  `msg:"b"` // start of the endpoint's process
}

// Started tells that the first piece of a granted request's answer has arrived.
type Started struct {
	ID      uint64 `msg:"a"`
	FirstMs uint32 `msg:"b"` // time since the request was sent
}

// EndpointLoad is the work at one endpoint that the dispatcher has granted.
type EndpointLoad struct {
	Endpoint  string
	UsedSlots uint16 // places taken
	Down      bool   // takes no work because requests failed there
}

// ModelLoad is the demand for one model as the dispatcher sees it.
type ModelLoad struct {
	Service        string
	Model          string
	Running        uint16
	Waiting        uint16
	ArrivalsPerSec float32 // arrivals a second
	MeanHoldSec    float32 // mean time that a request holds its place
	Copies         []CopyUse
}

// ModelWeight tells how many places of an endpoint a request for a model counts for, by what the endpoint has least of.
type ModelWeight struct {
	Service         string
	Model           string
	SlotsPerRequest float32
}

// CopyUse counts the granted requests for a model at an endpoint.
type CopyUse struct {
	Endpoint string
	Running  uint16
}

// FleetState is sent by the dispatcher to all hosts several times a second.
type FleetState struct {
	Endpoints   []EndpointLoad `msg:"a"` // in some of the messages only
	Models      []ModelLoad    `msg:"b"`
	Holder      string         `msg:"c"` // host that holds the placement lease, empty if none was heard of lately
	Epoch       uint64         `msg:"d"`
	Hosts       uint16         `msg:"e"` // connected hosts
	LeaseVacant bool           `msg:"g"` // the holder has given the lease up and nobody has taken it
	ViewCurrent bool           `msg:"f"` // the dispatcher follows the platform's store and passes changes on
	Views       []ViewSummary  `msg:"h"` // what the dispatcher has, if it is current
	// StoreLoads are the latest loads from the weight store that holders of the placement lease have told, for the holder
	// only. LoadsTold is false if no holder has told any.
	StoreLoads      []StoreLoads `msg:"i"`
	StoreLoadsKnown bool         `msg:"j"`
	Relays          []string     `msg:"k"` // hosts that follow the store for a dispatcher which has lost it
	// Leaving are the listed endpoints that have said that they leave.
	Leaving []EndpointLeaves `msg:"l"`
	// Weights belong to Models; a model that is not listed has the weight 1.
	Weights []ModelWeight `msg:"m"`
}

// StoreLoads lists the loads from the weight store that endpoints of a service have lately been ordered to make.
type StoreLoads struct {
	Service string
	AgesMs  []uint32
}

// HolderBeat is sent by the holder of the placement lease to the dispatcher.
type HolderBeat struct {
	Host      string      `msg:"a"`
	Epoch     uint64      `msg:"b"`
	Unloading []ModelCopy `msg:"c"` // copies that are about to be unloaded: no new work for them
	Loaded    []ModelCopy `msg:"d"` // copies that the list of endpoints may not show yet
	// Busy are endpoints that take no order for an adapter: they carry out another one, or their state is not known.
	Busy          []string `msg:"e"`
	LeaseReleased bool     `msg:"f"` // the lease has been given up
	// Evicted are adapters that were unloaded lately. One that was loaded again since may be named.
	Evicted []AdapterCopy `msg:"g"`
	// StoreLoads lets the next holder know what counts against the rate of the weight store.
	StoreLoads []StoreLoads `msg:"h"`
}

// AdapterCopy is an adapter at an endpoint.
type AdapterCopy struct {
	Endpoint string
	Model    string
	Adapter  string
}

// ModelCopy is a copy of a model at an endpoint.
type ModelCopy struct {
	Endpoint string
	Model    string
}

// Prepare asks the holder of the placement lease to load an adapter.
type Prepare struct {
	Endpoint string `msg:"a"`
	Model    string `msg:"b"`
	Adapter  string `msg:"c"`
	Missing  bool   `msg:"d"` // the endpoint said that it does not hold the adapter
	// Evict and Keep are those of the request's Grant.
	Evict ModelAdapter   `msg:"e"`
	Keep  []ModelAdapter `msg:"f"`
}

// PrepareReply answers a Prepare.
type PrepareReply struct {
	OK     bool   `msg:"a"`
	WaitMs uint32 `msg:"b"` // until the adapter can be used
	Reason string `msg:"c"` // if not OK
}

// ViewRequest asks a host for what it knows, while the platform's store can't be read.
type ViewRequest struct{}

// StoredObject is an object of the platform's store.
type StoredObject struct {
	Kind    string
	Name    string
	Version string
	Data    []byte
}

// ViewReply answers a ViewRequest.
type ViewReply struct {
	Objects []StoredObject `msg:"a"`
}

// Cancel withdraws an Ask or releases a grant that was not used.
type Cancel struct {
	ID uint64 `msg:"a"`
}

// Preempt asks the entry to stop a granted request and to Ask again, so that its slot goes to more urgent work.
type Preempt struct {
	ID uint64 `msg:"a"`
}

// Running is a granted request in a Resync.
type Running struct {
	Ask      Ask    `msg:"a"`
	Endpoint string `msg:"b"`
}

// Resync tells a new dispatcher what an entry has waiting and in flight.
type Resync struct {
	Waiting []Ask     `msg:"a"`
	Running []Running `msg:"b"`
}

// ClaimRequest claims an idempotency key for one attempt before it is sent.
type ClaimRequest struct {
	Caller      string `msg:"a"`
	Key         string `msg:"b"`
	Attempt     string `msg:"c"` // unique id of the attempt
	Fingerprint uint64 `msg:"d"` // hash of method, path and body
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
	State        ClaimState `msg:"a"`
	Outcome      uint8      `msg:"b"` // attempt.Outcome recorded for the key, if ClaimTaken; with ClaimUnavailable, NotSent if nothing was stored
	Status       uint16     `msg:"c"`
	RetryAfterMs uint32     `msg:"d"`
}

// ClaimResult records how a claimed attempt ended. A result that proves that the request was not run releases the key.
type ClaimResult struct {
	Caller  string `msg:"a"`
	Key     string `msg:"b"`
	Attempt string `msg:"c"`
	Outcome uint8  `msg:"d"`
	Status  uint16 `msg:"e"`
}

// Ack confirms a message that has no other reply.
type Ack struct{}

// Inquiry asks a process for what it knows when an operator asks. A control process also asks the entries subscribed to
// it. It costs nothing while no operator asks.
type Inquiry struct {
	Subject string `msg:"a"` // request id, model or endpoint whose decisions are wanted, empty for none
	Reports bool   `msg:"b"` // the latest reports of endpoints are wanted, which only the holder of the lease has
}

// InquiryReply answers an Inquiry.
type InquiryReply struct {
	Decisions []Decision      `msg:"a"`
	Reports   []EndpointState `msg:"b"`
	Missing   []string        `msg:"c"` // processes that did not answer in time
}

// Decision is an entry of a process's decision journal.
type Decision struct {
	UnixMicro int64           `msg:"a"` // by the clock of the process, for display only
	Part      string          `msg:"b"`
	Subject   string          `msg:"c"`
	Decision  string          `msg:"d"`
	Reason    string          `msg:"e"`
	Fields    []DecisionField `msg:"f"` // in the order of their names
}

// DecisionField is one further fact about a decision. A list of them stands for a map, which the protocol does not allow.
type DecisionField struct {
	Name  string
	Value string
}

// ModelCells names the cells that serve a model or adapter.
type ModelCells struct {
	Model string   `msg:"a"`
	Cells []string `msg:"b"`
}

// CellMembers are the hosts of a cell.
type CellMembers struct {
	Cell    string   `msg:"a"`
	Members []Member `msg:"b"`
}

// DirectoryUpdate carries what is known of the other cells to an entry process. A model that no other cell serves and
// the own cell are left out.
type DirectoryUpdate struct {
	Models []ModelCells  `msg:"a"`
	Cells  []CellMembers `msg:"b"`
}

// ViewUpdate passes objects of the platform's store on to a host that does not follow the store itself.
type ViewUpdate struct {
	ObjectKind string         `msg:"a"` // kind of the objects
	Objects    []StoredObject `msg:"b"`
	Removed    []string       `msg:"c"` // names
	Complete   bool           `msg:"d"` // Names are all of the kind, Objects those that the host lacks
	Names      []string       `msg:"e"`
	Patches    []ObjectPatch  `msg:"f"`
	Fetch      bool           `msg:"g"` // the change is long: the host reads the kind from the store
}

// ObjectPatch is the change of an object's data: the bytes between a prefix and a suffix that stay.
type ObjectPatch struct {
	Name    string
	From    string // version that it applies to
	Version string // version that it makes
	Prefix  uint32 // bytes
	Suffix  uint32
	Middle  []byte
}

// ViewSummary tells which objects of a kind a host has.
type ViewSummary struct {
	Of     string
	Newest uint64 // highest version
	Digest uint64 // of names and versions
}

// RelayBeat is sent by a host that follows the store for a dispatcher which has lost it, several times a second.
type RelayBeat struct {
	ViewCurrent bool          `msg:"a"` // it reaches the store
	Views       []ViewSummary `msg:"b"` // what it has
}

// ViewAsk asks the dispatcher, or the dispatcher a host that follows the store for it, for what the sender lacks of a kind.
type ViewAsk struct {
	ObjectKind string `msg:"a"`
	Newest     uint64 `msg:"b"` // highest version that the host has
}
