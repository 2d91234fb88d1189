/** Database hosts that speak PostgreSQL's protocol: how their replies are parsed, checked and understood. */
package mintstair.backend.pg;
