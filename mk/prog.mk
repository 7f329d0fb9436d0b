# Builds one program: PROG, SRCS (default: every .c file of the directory).
include $(TOP)/mk/common.mk
SRCS ?= $(wildcard *.c)
OBJS = $(SRCS:%.c=$(BUILD)/$(PROG).d/%.o)

$(BUILD)/$(PROG): $(OBJS) $(LIBBSH)
	$(CC) $(CFLAGS_ALL) -o $@ $(OBJS) $(LIBBSH) $(PKG_LIBS)

$(BUILD)/$(PROG).d/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS_ALL) $(CFLAGS_ALL) -MMD -c -o $@ $<

-include $(OBJS:.o=.d)
