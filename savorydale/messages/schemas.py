"""JSON Schemas, generated from schema/ by scripts/generate."""

ENTRY_SCHEMA = {'$schema': 'https://json-schema.org/draft/2020-12/schema',
 'additionalProperties': False,
 'description': 'The settings file of one entry process.',
 'properties': {'entry': {'additionalProperties': False,
                          'properties': {'name': {'description': 'Name of this entry '
                                                                 'VM.',
                                                  'pattern': '^[a-z0-9][a-z0-9-]{0,62}$',
                                                  'type': 'string'},
                                         'region': {'default': 'default',
                                                    'description': 'Region of this '
                                                                   'entry VM.',
                                                    'minLength': 1,
                                                    'type': 'string'},
                                         'zone': {'description': 'Availability zone of '
                                                                 'this entry VM.',
                                                  'minLength': 1,
                                                  'type': 'string'}},
                          'required': ['name', 'zone'],
                          'title': 'EntryOptions',
                          'type': 'object'},
                'http': {'additionalProperties': False,
                         'properties': {'backlog': {'default': 128,
                                                    'description': 'Connections that '
                                                                   'wait for a thread.',
                                                    'maximum': 4096,
                                                    'minimum': 1,
                                                    'type': 'integer'},
                                        'body_limit_bytes': {'default': 1048576,
                                                             'description': 'Largest '
                                                                            'body that '
                                                                            'is '
                                                                            'accepted.',
                                                             'maximum': 104857600,
                                                             'minimum': 1024,
                                                             'type': 'integer'},
                                        'host': {'default': '127.0.0.1',
                                                 'description': 'IP number that '
                                                                'callers and operators '
                                                                'reach.',
                                                 'type': 'string'},
                                        'idle_timeout_seconds': {'default': 30,
                                                                 'description': 'Time '
                                                                                'after '
                                                                                'which '
                                                                                'an '
                                                                                'idle '
                                                                                'connection '
                                                                                'is '
                                                                                'closed.',
                                                                 'exclusiveMinimum': 0,
                                                                 'maximum': 600,
                                                                 'type': 'number'},
                                        'lame_duck_seconds': {'default': 2,
                                                              'description': 'How long '
                                                                             'a '
                                                                             'stopping '
                                                                             'entry '
                                                                             'still '
                                                                             'serves '
                                                                             'while '
                                                                             'its '
                                                                             'health '
                                                                             'page is '
                                                                             'red.',
                                                              'maximum': 60,
                                                              'minimum': 0,
                                                              'type': 'number'},
                                        'port': {'description': 'TCP port of the HTTP '
                                                                'server.',
                                                 'maximum': 65535,
                                                 'minimum': 1,
                                                 'type': 'integer'},
                                        'threads': {'default': 48,
                                                    'description': 'Requests that are '
                                                                   'handled at the '
                                                                   'same time.',
                                                    'maximum': 512,
                                                    'minimum': 4,
                                                    'type': 'integer'}},
                         'required': ['port'],
                         'title': 'HttpOptions',
                         'type': 'object'},
                'lease': {'additionalProperties': False,
                          'properties': {'entry_seconds': {'default': 3,
                                                           'description': 'Length of '
                                                                          "an entry's "
                                                                          'lease in '
                                                                          'the table.',
                                                           'maximum': 60,
                                                           'minimum': 0.5,
                                                           'type': 'number'},
                                         'grace_seconds': {'default': 7200,
                                                           'description': 'How long an '
                                                                          'entry that '
                                                                          'cannot '
                                                                          'reach the '
                                                                          'table keeps '
                                                                          'what it '
                                                                          'owns, and '
                                                                          'how long a '
                                                                          'takeover '
                                                                          'without '
                                                                          'proof of '
                                                                          'death '
                                                                          'waits.',
                                                           'maximum': 86400,
                                                           'minimum': 10,
                                                           'type': 'number'},
                                         'task_seconds': {'default': 10,
                                                          'description': 'Length of a '
                                                                         "task's lease "
                                                                         'on its '
                                                                         'worker.',
                                                          'maximum': 600,
                                                          'minimum': 1,
                                                          'type': 'number'}},
                          'title': 'LeaseOptions',
                          'type': 'object'},
                'logging': {'additionalProperties': False,
                            'properties': {'format': {'default': 'plain',
                                                      'description': 'Shape of a log '
                                                                     'line.',
                                                      'enum': ['plain', 'json']},
                                           'level': {'default': 'info',
                                                     'description': 'Lowest level that '
                                                                    'is written.',
                                                     'enum': ['debug',
                                                              'info',
                                                              'warning',
                                                              'error']}},
                            'title': 'LoggingOptions',
                            'type': 'object'},
                'peer': {'additionalProperties': False,
                         'properties': {'heartbeat_seconds': {'default': 0.5,
                                                              'description': 'Time '
                                                                             'between '
                                                                             'heartbeats '
                                                                             'to each '
                                                                             'peer.',
                                                              'exclusiveMinimum': 0,
                                                              'maximum': 10,
                                                              'type': 'number'},
                                        'host': {'default': '127.0.0.1',
                                                 'description': 'IP number that other '
                                                                'entries reach.',
                                                 'type': 'string'},
                                        'port': {'description': 'TCP port for other '
                                                                'entries.',
                                                 'maximum': 65535,
                                                 'minimum': 1,
                                                 'type': 'integer'},
                                        'seeds': {'default': [],
                                                  'description': 'Addresses '
                                                                 '(host:port) of '
                                                                 'entries to ask when '
                                                                 'the table is out at '
                                                                 'start.',
                                                  'items': {'pattern': '^[^:]+:[0-9]+$',
                                                            'type': 'string'},
                                                  'type': 'array'}},
                         'required': ['port'],
                         'title': 'PeerOptions',
                         'type': 'object'},
                'platform': {'additionalProperties': False,
                             'properties': {'timeout_seconds': {'default': 2,
                                                                'description': 'Longest '
                                                                               'wait '
                                                                               'for '
                                                                               'one '
                                                                               'answer.',
                                                                'exclusiveMinimum': 0,
                                                                'maximum': 60,
                                                                'type': 'number'},
                                            'url': {'description': 'Base URL of the '
                                                                   'table service, '
                                                                   'object store and '
                                                                   'VM status.',
                                                    'pattern': '^https?://',
                                                    'type': 'string'}},
                             'required': ['url'],
                             'title': 'PlatformOptions',
                             'type': 'object'},
                'routing': {'additionalProperties': False,
                            'properties': {'queue_limit': {'default': 256,
                                                           'description': 'Requests '
                                                                          'that wait '
                                                                          'for a slot, '
                                                                          'over all '
                                                                          'services.',
                                                           'maximum': 100000,
                                                           'minimum': 0,
                                                           'type': 'integer'},
                                           'retry_ratio': {'default': 0.1,
                                                           'description': 'Retries '
                                                                          'that a '
                                                                          'service may '
                                                                          'add, as a '
                                                                          'share of '
                                                                          'its '
                                                                          'requests.',
                                                           'maximum': 1,
                                                           'minimum': 0,
                                                           'type': 'number'}},
                            'title': 'RoutingOptions',
                            'type': 'object'},
                'security': {'additionalProperties': False,
                             'properties': {'shared_key': {'description': 'Key that '
                                                                          'callers, '
                                                                          'operators '
                                                                          'and peers '
                                                                          'present; '
                                                                          'without it '
                                                                          'only '
                                                                          'loopback is '
                                                                          'accepted.',
                                                           'minLength': 16,
                                                           'type': 'string'}},
                             'title': 'SecurityOptions',
                             'type': 'object'}},
 'required': ['entry', 'http', 'peer', 'platform'],
 'title': 'EntryConfig',
 'type': 'object'}

SETTINGS_SCHEMA = {'$schema': 'https://json-schema.org/draft/2020-12/schema',
 'additionalProperties': False,
 'description': 'One node of the settings tree.',
 'properties': {'kind': {'description': 'Level of the node.',
                         'enum': ['headquarters',
                                  'region',
                                  'branch',
                                  'team',
                                  'service',
                                  'job']},
                'locked': {'default': [],
                           'description': 'Values that nodes below may not override.',
                           'items': {'type': 'string'},
                           'type': 'array',
                           'uniqueItems': True},
                'values': {'additionalProperties': False,
                           'description': 'Values set at this node; nodes below '
                                          'inherit them.',
                           'properties': {'accelerators': {'default': 0,
                                                           'description': 'Accelerators '
                                                                          'that one '
                                                                          'task is '
                                                                          'given.',
                                                           'maximum': 64,
                                                           'minimum': 0,
                                                           'type': 'integer'},
                                          'idempotent_methods': {'default': ['GET',
                                                                             'HEAD',
                                                                             'OPTIONS'],
                                                                 'description': 'HTTP '
                                                                                'methods '
                                                                                'that '
                                                                                'may '
                                                                                'be '
                                                                                'sent '
                                                                                'again.',
                                                                 'items': {'enum': ['GET',
                                                                                    'HEAD',
                                                                                    'OPTIONS',
                                                                                    'PUT',
                                                                                    'DELETE',
                                                                                    'POST',
                                                                                    'PATCH']},
                                                                 'type': 'array',
                                                                 'uniqueItems': True},
                                          'interactive': {'default': True,
                                                          'description': 'Whether '
                                                                         'requests go '
                                                                         'before those '
                                                                         'of other '
                                                                         'services.',
                                                          'type': 'boolean'},
                                          'max_attempts': {'default': 5,
                                                           'description': 'Failed '
                                                                          'attempts '
                                                                          'after which '
                                                                          'a run is '
                                                                          'given up.',
                                                           'maximum': 100,
                                                           'minimum': 1,
                                                           'type': 'integer'},
                                          'memory_gb': {'default': 1,
                                                        'description': 'Memory that '
                                                                       'one task is '
                                                                       'given, in '
                                                                       'gigabytes.',
                                                        'exclusiveMinimum': 0,
                                                        'maximum': 65536,
                                                        'type': 'number'},
                                          'missed_runs': {'default': 'once',
                                                          'description': 'What happens '
                                                                         'to runs that '
                                                                         'were due '
                                                                         'while '
                                                                         'nothing '
                                                                         'could start '
                                                                         'them.',
                                                          'enum': ['skip',
                                                                   'once',
                                                                   'all']},
                                          'processors': {'default': 1,
                                                         'description': 'Processors '
                                                                        'that one task '
                                                                        'is given.',
                                                         'exclusiveMinimum': 0,
                                                         'maximum': 1024,
                                                         'type': 'number'},
                                          'quota_processors': {'description': 'Processors '
                                                                              'that '
                                                                              'everything '
                                                                              'below '
                                                                              'this '
                                                                              'node '
                                                                              'may '
                                                                              'declare.',
                                                               'minimum': 0,
                                                               'type': 'number'},
                                          'replicas': {'default': 1,
                                                       'description': 'Tasks of a '
                                                                      'service that '
                                                                      'run at the same '
                                                                      'time.',
                                                       'maximum': 10000,
                                                       'minimum': 0,
                                                       'type': 'integer'},
                                          'request_timeout_ms': {'default': 5000,
                                                                 'description': 'Longest '
                                                                                'time '
                                                                                'for '
                                                                                'one '
                                                                                'request.',
                                                                 'maximum': 600000,
                                                                 'minimum': 10,
                                                                 'type': 'integer'},
                                          'run_seconds': {'default': 60,
                                                          'description': 'Declared run '
                                                                         'time of a '
                                                                         'job.',
                                                          'exclusiveMinimum': 0,
                                                          'maximum': 604800,
                                                          'type': 'number'},
                                          'schedule': {'description': 'Cron expression '
                                                                      'of a job; '
                                                                      'without it the '
                                                                      'job runs on '
                                                                      'demand.',
                                                       'minLength': 1,
                                                       'type': 'string'},
                                          'tail_weight': {'default': 0.5,
                                                          'description': 'Weight of a '
                                                                         "service's "
                                                                         'tail latency '
                                                                         'against '
                                                                         'batch work '
                                                                         'on the same '
                                                                         'VM: at 1 its '
                                                                         'latency may '
                                                                         'be inflated '
                                                                         'by 10%, at '
                                                                         '0.5 by 20%, '
                                                                         'at 0.25 by '
                                                                         '40%.',
                                                          'maximum': 1,
                                                          'minimum': 0,
                                                          'type': 'number'},
                                          'time_zone': {'default': 'UTC',
                                                        'description': 'IANA time zone '
                                                                       'of the '
                                                                       'schedule.',
                                                        'minLength': 1,
                                                        'type': 'string'},
                                          'urgent': {'default': False,
                                                     'description': 'Whether a job '
                                                                    'goes before '
                                                                    'others.',
                                                     'type': 'boolean'}},
                           'title': 'SettingsValues',
                           'type': 'object'}},
 'required': ['kind'],
 'title': 'SettingsNode',
 'type': 'object'}

VM_SCHEMA = {'$schema': 'https://json-schema.org/draft/2020-12/schema',
 'additionalProperties': False,
 'description': 'The settings file of one process that accepts and schedules jobs.',
 'properties': {'advice': {'additionalProperties': False,
                           'properties': {'address': {'default': '',
                                                      'description': 'Address '
                                                                     '(host:port) of '
                                                                     'the placement '
                                                                     'policy service; '
                                                                     'empty for none.',
                                                      'type': 'string'}},
                           'title': 'AdviceOptions',
                           'type': 'object'},
                'jobs': {'additionalProperties': False,
                         'properties': {'max_steps': {'default': 100,
                                                      'description': 'Steps of one '
                                                                     'job.',
                                                      'maximum': 1000,
                                                      'minimum': 1,
                                                      'type': 'integer'},
                                        'max_tasks': {'default': 100000,
                                                      'description': 'Tasks of all '
                                                                     'occurrences of '
                                                                     'one job.',
                                                      'maximum': 1000000,
                                                      'minimum': 1,
                                                      'type': 'integer'},
                                        'max_tasks_per_step': {'default': 1000,
                                                               'description': 'Tasks '
                                                                              'of one '
                                                                              'step; '
                                                                              'their '
                                                                              'progress '
                                                                              'must '
                                                                              'fit in '
                                                                              'one row '
                                                                              'of the '
                                                                              'store.',
                                                               'maximum': 10000,
                                                               'minimum': 1,
                                                               'type': 'integer'},
                                        'max_waiting_occurrences': {'default': 100,
                                                                    'description': 'Due '
                                                                                   'occurrences '
                                                                                   'of '
                                                                                   'one '
                                                                                   'job '
                                                                                   'that '
                                                                                   'are '
                                                                                   'scheduled '
                                                                                   'at '
                                                                                   'the '
                                                                                   'same '
                                                                                   'time; '
                                                                                   'later '
                                                                                   'ones '
                                                                                   'wait.',
                                                                    'maximum': 10000,
                                                                    'minimum': 1,
                                                                    'type': 'integer'}},
                         'title': 'JobOptions',
                         'type': 'object'},
                'listen': {'additionalProperties': False,
                           'properties': {'callers': {'description': 'Address '
                                                                     '(host:port) for '
                                                                     'callers.',
                                                      'pattern': '^[^:]+:[0-9]+$',
                                                      'type': 'string'},
                                          'health': {'description': 'Address '
                                                                    '(host:port) of '
                                                                    'the readiness '
                                                                    'page.',
                                                     'pattern': '^[^:]+:[0-9]+$',
                                                     'type': 'string'},
                                          'metrics_port': {'default': 0,
                                                           'description': 'TCP port of '
                                                                          'the metrics '
                                                                          'page; 0 for '
                                                                          'none.',
                                                           'maximum': 65535,
                                                           'minimum': 0,
                                                           'type': 'integer'}},
                           'required': ['callers', 'health'],
                           'title': 'ListenOptions',
                           'type': 'object'},
                'logging': {'additionalProperties': False,
                            'properties': {'level': {'default': 'info',
                                                     'description': 'Lowest level that '
                                                                    'is written.',
                                                     'enum': ['debug',
                                                              'info',
                                                              'warning',
                                                              'error']}},
                            'title': 'VmLoggingOptions',
                            'type': 'object'},
                'store': {'additionalProperties': False,
                          'properties': {'address': {'description': 'Address '
                                                                    '(host:port) of '
                                                                    "the platform's "
                                                                    'store.',
                                                     'pattern': '^[^:]+:[0-9]+$',
                                                     'type': 'string'},
                                         'row_bytes': {'default': 65536,
                                                       'description': 'Largest value '
                                                                      'of one row.',
                                                       'minimum': 1024,
                                                       'type': 'integer'}},
                          'required': ['address'],
                          'title': 'StoreOptions',
                          'type': 'object'},
                'timing': {'additionalProperties': False,
                           'properties': {'checkpoint_s': {'default': 2,
                                                           'description': 'Work '
                                                                          'between two '
                                                                          'checkpoints '
                                                                          'of a task.',
                                                           'minimum': 0,
                                                           'type': 'number'},
                                          'config_apply_ms': {'default': 2000,
                                                              'description': 'Time '
                                                                             'within '
                                                                             'which an '
                                                                             'accepted '
                                                                             'configuration '
                                                                             'is in '
                                                                             'force.',
                                                              'minimum': 100,
                                                              'type': 'number'},
                                          'drain_ms': {'default': 2000,
                                                       'description': 'Time after '
                                                                      'which a leaving '
                                                                      'worker gets no '
                                                                      'more tasks.',
                                                       'minimum': 0,
                                                       'type': 'number'},
                                          'early_ms': {'default': 250,
                                                       'description': 'How early an '
                                                                      'occurrence may '
                                                                      'start.',
                                                       'minimum': 0,
                                                       'type': 'number'},
                                          'gang_timeout_ms': {'default': 3000,
                                                              'description': 'How long '
                                                                             'a member '
                                                                             'of a '
                                                                             'gang '
                                                                             'waits '
                                                                             'for the '
                                                                             'others.',
                                                              'minimum': 0,
                                                              'type': 'number'},
                                          'heartbeat_ms': {'default': 1500,
                                                           'description': 'Time '
                                                                          'between a '
                                                                          "worker's "
                                                                          'writes to '
                                                                          'the store.',
                                                           'minimum': 50,
                                                           'type': 'number'},
                                          'latency_breach_ms': {'default': 4000,
                                                                'description': 'Longest '
                                                                               'time '
                                                                               'that '
                                                                               'backfill '
                                                                               'may '
                                                                               'keep a '
                                                                               'service '
                                                                               'over '
                                                                               'its '
                                                                               'latency '
                                                                               'target.',
                                                                'minimum': 0,
                                                                'type': 'number'},
                                          'lease_max_ms': {'description': 'Longest '
                                                                          'lease that '
                                                                          'a worker '
                                                                          'grants.',
                                                           'minimum': 100,
                                                           'type': 'number'},
                                          'maintenance_s': {'default': 2,
                                                            'description': 'How long '
                                                                           'the upkeep '
                                                                           'of a VM '
                                                                           'takes.',
                                                            'minimum': 0,
                                                            'type': 'number'},
                                          'notice_ms': {'default': 4500,
                                                        'description': 'Time after '
                                                                       'which a '
                                                                       'replica that '
                                                                       'is not at work '
                                                                       'counts as '
                                                                       'unavailable.',
                                                        'minimum': 0,
                                                        'type': 'number'},
                                          'remote_factor': {'default': 2,
                                                            'description': 'How much '
                                                                           'longer a '
                                                                           'task takes '
                                                                           'away from '
                                                                           'its data.',
                                                            'minimum': 1,
                                                            'type': 'number'},
                                          'restore_ms': {'default': 600,
                                                         'description': 'Time that '
                                                                        'resuming from '
                                                                        'a checkpoint '
                                                                        'takes.',
                                                         'minimum': 0,
                                                         'type': 'number'},
                                          'status_retention_s': {'default': 120,
                                                                 'description': 'How '
                                                                                'long '
                                                                                'an '
                                                                                'ended '
                                                                                'job '
                                                                                'can '
                                                                                'be '
                                                                                'asked '
                                                                                'for.',
                                                                 'minimum': 1,
                                                                 'type': 'number'},
                                          'stop_grace_s': {'default': 6,
                                                           'description': 'Time that a '
                                                                          'stopping '
                                                                          'process '
                                                                          'has.',
                                                           'minimum': 0,
                                                           'type': 'number'},
                                          'stop_timeout_ms': {'default': 900,
                                                              'description': 'Longest '
                                                                             'time '
                                                                             'that a '
                                                                             'worker '
                                                                             'takes to '
                                                                             'stop a '
                                                                             'task.',
                                                              'minimum': 0,
                                                              'type': 'number'},
                                          'vm_order_lease_ms': {'default': 3000,
                                                                'description': 'Time '
                                                                               'between '
                                                                               'orders '
                                                                               'of two '
                                                                               'holders '
                                                                               'for '
                                                                               'one '
                                                                               'VM.',
                                                                'minimum': 0,
                                                                'type': 'number'}},
                           'required': ['lease_max_ms'],
                           'title': 'TimingOptions',
                           'type': 'object'},
                'vm': {'additionalProperties': False,
                       'properties': {'ip': {'description': 'IP number that other '
                                                            'entries reach.',
                                             'minLength': 1,
                                             'type': 'string'},
                                      'memory_mb': {'default': 256,
                                                    'description': 'Memory limit of '
                                                                   'the process.',
                                                    'minimum': 32,
                                                    'type': 'integer'},
                                      'name': {'description': 'Name of this VM, unique '
                                                              'among the entries.',
                                               'minLength': 1,
                                               'type': 'string'},
                                      'processor_count': {'default': 1.0,
                                                          'description': 'Cores of '
                                                                         'which the VM '
                                                                         'has that '
                                                                         'share.',
                                                          'exclusiveMinimum': 0,
                                                          'type': 'number'},
                                      'processor_share': {'default': 1.0,
                                                          'description': 'Share of a '
                                                                         'core that '
                                                                         'this process '
                                                                         'may use.',
                                                          'exclusiveMinimum': 0,
                                                          'type': 'number'},
                                      'zone': {'description': 'Availability zone of '
                                                              'this VM.',
                                               'minLength': 1,
                                               'type': 'string'}},
                       'required': ['name', 'zone', 'ip'],
                       'title': 'VmOptions',
                       'type': 'object'},
                'vms': {'additionalProperties': False,
                        'properties': {'address': {'default': '',
                                                   'description': 'Address (host:port) '
                                                                  'of the list of '
                                                                  'worker VMs; empty '
                                                                  'for none.',
                                                   'type': 'string'},
                                       'fences_orders': {'default': True,
                                                         'description': 'Whether '
                                                                        'orders for '
                                                                        'VMs are '
                                                                        'checked '
                                                                        'against '
                                                                        'fencing '
                                                                        'tokens.',
                                                         'type': 'boolean'},
                                       'orders_per_second': {'default': 1.0,
                                                             'description': 'Orders '
                                                                            'for VMs '
                                                                            'that all '
                                                                            'entries '
                                                                            'together '
                                                                            'may send.',
                                                             'minimum': 0,
                                                             'type': 'number'}},
                        'title': 'VmListOptions',
                        'type': 'object'}},
 'required': ['vm', 'listen', 'store', 'timing'],
 'title': 'VmConfig',
 'type': 'object'}
