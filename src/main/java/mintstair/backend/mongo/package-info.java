/** Database hosts that speak MongoDB's wire protocol: how their replies are parsed, checked and understood. */
package mintstair.backend.mongo;
