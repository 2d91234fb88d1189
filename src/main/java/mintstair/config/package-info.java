/**
 * Configuration: the node's file, the operator's file, and the settings within them, as immutable records. The keys
 * of the files are the platform's; they are turned into the terms of the code here, and appear nowhere else. See
 * {@code docs/glossary.md}.
 *
 * <p>Whatever is wrong with a configuration is a {@link mintstair.config.ConfigException}, whose message is the one
 * line that the program ends with.
 */
package mintstair.config;
