/** Files that processes share: replaced as a whole, so that a reader finds the old or the new content. */
package mintstair.files;
