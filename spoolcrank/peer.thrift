// Messages between instances. On the own interface each frame holds one Envelope with exactly one
// message; on the users' platform the bodies of POST /forward are the structs at the end.

struct Server {
  1: string server, 2: i64 epoch, 3: i32 free_slots,
  4: double processors, 5: double memory_mb, 6: i32 accelerators, 7: bool ready,
  8: double latency_s
}

struct Echo { 1: string instance, 2: string incarnation, 3: double sent_at, 4: double age_s }

struct Heartbeat {
  1: string sender, 2: string incarnation, 3: string zone, 4: i64 seq, 5: double sent_at,
  6: bool leaving, 7: bool ready, 8: i64 config_version, 9: i64 ledger_offset, 10: bool log_ok,
  11: list<Server> servers, 12: list<Echo> echoes
}

struct Forward {
  1: string request, 2: string service_name, 3: string method, 4: string path,
  5: map<string, string> headers, 6: binary body, 7: double left_s, 8: i32 urgency,
  9: bool repeatable
}

struct Forwarded {
  1: string request, 2: string error, 3: string detail, 4: i32 status,
  5: map<string, string> headers, 6: binary body, 7: string server, 8: double retry_after_s
}

struct Handover { 1: string server, 2: i64 epoch, 3: i32 busy }

// Query to a peer: `what` names its subject, `text` is JSON or a command in the operators' language.
struct Query { 1: i64 number, 2: string what, 3: string text }

struct Answer { 1: i64 number, 2: string text }

struct Envelope {
  1: optional Heartbeat heartbeat, 2: optional Forward forward, 3: optional Forwarded forwarded,
  4: optional Handover handover, 5: optional Query query, 6: optional Answer answer,
  7: string sender
}

// Request of a client that an instance forwards to a peer; `left_ms` is the time left to answer it.
struct ForwardedRequest {
  1: string method, 2: string path, 3: string host, 4: binary body, 5: i32 left_ms,
  6: optional string to_instance
}

// Answer that the client gets, unchanged.
struct ForwardedAnswer { 1: i32 status, 2: map<string, string> headers, 3: binary body }
