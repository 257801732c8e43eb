-- Flood orders and ice readings of curling rinks.
CREATE TABLE IF NOT EXISTS flood_orders (id int8 PRIMARY KEY, rink text, sheet int4, litres int4);
CREATE TABLE IF NOT EXISTS readings (rink text, sheet int4, minute int4, ice_temperature_mc int4, pebble_um int4);
