/** Database hosts that speak MongoDB's wire protocol: parsing, validation and classification of their replies. */
package mintstair.backend.mongo;
