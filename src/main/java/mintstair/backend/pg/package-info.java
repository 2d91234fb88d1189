/** Database hosts that speak PostgreSQL's protocol: parsing, validation and classification of their replies. */
package mintstair.backend.pg;
