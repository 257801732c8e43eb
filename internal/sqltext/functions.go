package sqltext

import "strings"

// readFunctions are functions without side effects whose results do not depend
// on session state that the proxy does not track.
var readFunctions = wordSet(`
	abs acos age any_value array_agg array_append array_cat array_dims array_fill array_length array_lower array_ndims
	array_position array_positions array_prepend array_remove array_replace array_to_json array_to_string array_upper
	ascii asin atan atan2 avg bit_and bit_length bit_or bool_and bool_or bounds btrim cardinality cbrt ceil ceiling
	char_length character_length chr clock_timestamp coalesce col_description concat concat_ws convert_from convert_to
	corr cos cosh cot count covar_pop covar_samp cume_dist current_database current_schema current_schemas
	current_setting current_time current_timestamp date date_bin date_part date_trunc decode degrees dense_rank div encode every exp extract
	factorial first_value floor format format_type gcd generate_series generate_subscripts get_bit get_byte
	grouping greatest has_database_privilege has_schema_privilege has_table_privilege hashtext initcap isfinite
	json_agg json_array_elements json_array_elements_text json_array_length json_build_array json_build_object
	json_each json_each_text json_extract_path json_extract_path_text json_object json_object_agg json_object_keys
	json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
	jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert
	jsonb_object jsonb_object_agg jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query
	jsonb_path_query_array jsonb_path_query_first jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_typeof
	justify_days justify_hours justify_interval lag last_value lcm lead least left length ln localtime
	localtimestamp log log10 lower lower_inc lower_inf lpad ltrim make_date make_interval make_time make_timestamp
	make_timestamptz max md5 min mod mode now nth_value ntile nullif num_nonnulls num_nulls numrange obj_description
	octet_length overlay parse_ident percent_rank percentile_cont percentile_disc pg_backend_pid
	pg_client_encoding pg_column_size pg_database_size pg_encoding_to_char pg_function_is_visible pg_get_constraintdef
	pg_get_expr pg_get_functiondef pg_get_indexdef pg_get_keywords pg_get_userbyid pg_get_viewdef
	pg_opclass_is_visible pg_relation_size pg_size_pretty pg_sleep pg_sleep_for pg_table_is_visible pg_table_size
	pg_total_relation_size pg_type_is_visible pg_typeof pi plainto_tsquery position power quote_ident quote_literal
	quote_nullable radians rank regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
	regexp_split_to_array regexp_split_to_table regexp_substr regr_avgx regr_count regr_slope repeat replace reverse
	right round row row_number row_to_json rpad rtrim scale session_user sha224 sha256 sha384 sha512 sign sin sinh
	split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array strpos
	substr substring sum tan tanh timeofday to_char to_date to_hex to_json to_jsonb to_number to_regclass
	to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trim_array trunc ts_headline ts_rank
	tsquery_phrase tsrange tstzrange unnest upper upper_inc upper_inf var_pop var_samp variance version
	websearch_to_tsquery width_bucket`)

// nonFunctionWords are key words that may precede a parenthesis without calling
// a function, and names of types that take a precision.
var nonFunctionWords = wordSet(`
	all and any array as asc between bit by case cast char character cross cube date dec decimal desc distinct else
	end except exists explain fetch filter first float for from full group having ilike in inner intersect interval
	into is isnull join last lateral left like limit materialized natural not notnull nullif numeric offset on only
	or order outer over overlaps partition range recursive right rollup rows select sets similar some symmetric
	table tablesample then time timestamp timestamptz timetz union using values varchar varying when where window
	with within analyze verbose`)

// sessionFunctions are functions that leave state in the upstream session, which
// is shared with other callers' sessions, or that act on other sessions.
var sessionFunctions = wordSet(`
	pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_all pg_advisory_unlock_shared
	pg_try_advisory_lock pg_try_advisory_lock_shared set_config pg_notify pg_listening_channels pg_cancel_backend
	pg_terminate_backend`)

// controlFunctions are functions that change the primary of the database. Only
// the owner host may do that; they must be refused here because its upstream
// connections have the permission to call them.
var controlFunctions = wordSet(`group_fence group_promote group_follow pg_promote`)

// sessionSequenceFunctions are functions that read what an earlier statement left
// in the upstream session. Only within a transaction is that the same session.
var sessionSequenceFunctions = wordSet(`currval lastval`)

func wordSet(words string) map[string]bool {
	m := map[string]bool{}
	for w := range strings.FieldsSeq(words) {
		m[w] = true
	}
	return m
}
