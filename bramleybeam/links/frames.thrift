// Frames between Bramleybeam processes. Fields are only scalars, strings and
// binaries: a receiver refuses containers before decoding.

struct Hello {
  1: string process, 2: string role, 3: string zone, 4: string incarnation,
  5: i32 protocol, 6: string key, 7: i64 revision, 8: bool leaving,
  9: string address
}
struct Heartbeat { 1: i64 revision, 2: bool leaving }
struct Dispatch {
  1: string request_id, 2: i32 attempt, 3: string kind, 4: string target,
  5: string path, 6: string method, 7: binary body, 8: i64 resume_from,
  9: i32 deadline_ms, 10: i32 priority, 11: string class_name,
  12: bool idempotent, 13: string traceparent, 14: i32 credit,
  15: string headers, 16: string base_model, 17: bool alone,
  18: string fingerprint
}
struct Accepted { 1: string request_id, 2: i32 attempt }
struct Refused {
  1: string request_id, 2: i32 attempt, 3: string kind, 4: string message,
  5: i32 retry_after_ms
}
struct Chunk {
  1: string request_id, 2: i32 attempt, 3: i64 offset, 4: i32 count,
  5: binary body
}
struct End {
  1: string request_id, 2: i32 attempt, 3: i64 offset,
  4: string finish_reason, 5: i32 prompt_tokens, 6: i32 cached_tokens,
  7: i32 status, 8: string headers
}
struct Failed {
  1: string request_id, 2: i32 attempt, 3: i64 offset, 4: string kind,
  5: string message, 6: bool upstream_crashed
}
struct Credit { 1: string request_id, 2: i32 attempt, 3: i32 chunks }
struct Cancel { 1: string request_id, 2: i32 attempt }
struct Notice { 1: string topic, 2: binary body }
struct Call { 1: i64 call_id, 2: string topic, 3: binary body }
struct Reply { 1: i64 call_id, 2: bool ok, 3: binary body }
