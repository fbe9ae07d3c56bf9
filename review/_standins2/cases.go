package main

// cases holds the cases by name. Each ends the process.
var cases = map[string]func(dir string, trouble bool){}

// configText is a configuration like that of whiskerlane-nz.
const configText = `{"version":%d,"routes":[
{"name":"r-dossier","host":"a.example","path_prefix":"/dossier/","kind":"streaming","timeout_ms":12000,"slo_ms":1200,"priority":1,"service":"purr","max_attempts":2,"stages":[{"service":"roster","after":[],"bytes":8000}],"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"r-notes","host":"a.example","path_prefix":"/notes/","kind":"streaming","timeout_ms":12000,"slo_ms":1900,"priority":0,"service":"purr","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":300},
{"name":"r-hold","host":"a.example","path_prefix":"/hold/","kind":"unsafe","timeout_ms":2000,"slo_ms":100,"priority":2,"service":"desk","max_attempts":1,"public":false},
{"name":"r-check","host":"a.example","path_prefix":"/check/","kind":"safe","timeout_ms":2000,"slo_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false}],
"services":[{"name":"purr","health_path":"/healthz","max_conns":280,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":444000}},
{"name":"desk","health_path":"/healthz","max_conns":51,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},
{"name":"roster","health_path":"/healthz","max_conns":280,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"pieces":{"slots":1,"queue":2,"batch":10,"call_ms":240.0,"item_ms":21.0,"room_mb":12.0,"handle_s":4.0,"link_mbps":10000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"mere","api_keys":["key-1"],"priority":1}]}`
