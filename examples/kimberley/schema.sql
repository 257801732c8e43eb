-- Valuations of rugs, saved by valuers in the field.
CREATE TABLE IF NOT EXISTS valuations (
  rug text PRIMARY KEY,
  kind text,
  knots_per_dm2 int4,
  dye_note text,
  provenance text,
  value_cents int8
);
