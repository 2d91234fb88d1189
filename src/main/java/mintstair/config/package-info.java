/**
 * Configuration: immutable objects read from the node's file, the operator's file, and the settings in them. The keys
 * of the files are defined by the platform. This package translates them into the terms of the code, and no other
 * package uses them. See {@code docs/glossary.md}.
 *
 * <p>Every fault in a configuration is reported as a {@link mintstair.config.ConfigException}. Its one-line message is
 * printed when the program exits because of it.
 */
package mintstair.config;
