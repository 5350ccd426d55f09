"""Names of the Jujubetiller headers, in lower case."""

HEADER_PREFIX = "jujubetiller-"

CODE_HEADER = "jujubetiller-code"
CONTEXT_HEADER = "jujubetiller-context"
DEADLINE_HEADER = "jujubetiller-deadline-ms"
KEY_HEADER = "jujubetiller-key"
LEAVING_HEADER = "jujubetiller-leaving"
NOT_RUN_HEADER = "jujubetiller-not-run"
OUTCOME_HEADER = "jujubetiller-outcome"
RATE_LIMIT_HEADER = "jujubetiller-rate-limit"
RECORD_HEADER = "jujubetiller-record"
RETRY_TOKEN_HEADER = "jujubetiller-retry-token"
